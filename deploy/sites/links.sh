#!/bin/sh
# Lays the files that the bench wants beside a site: links to those of the given deployment in DIR.
set -eu
from=$(cd "$1" && pwd)
cd "$(dirname "$0")"
for f in real.json wire.json unlock.txt; do ln -sf "$from/$f" "$f"; done
