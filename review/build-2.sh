#!/bin/sh
# Builds what the scripts of the second review start besides the project's own programs: one program for each case, with
# its clients, app servers and check. The build of deploy/balancer.toml comes first; this one needs no network after it.
set -eu
cd "$(dirname "$0")/.."
for number in 6 7 8 9 10; do
	go build -o "review/$number/bin/case" "./review/$number/testdata/case"
done
