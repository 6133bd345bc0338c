#!/bin/sh
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/lockflow ] || [ ! -x review/bin/case3 ]; then
	echo "build first: the build line of deploy/balancer.toml, then review/build.sh" >&2
	exit 2
fi
exec review/bin/case3 -dir review/3
