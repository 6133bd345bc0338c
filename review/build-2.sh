#!/bin/sh
# Builds what the scripts of the second review start besides the project's own programs: one program for each case, with
# its clients, app servers and discovery. The build of deploy/balancer.toml comes first; this one needs no network after it.
set -eu
cd "$(dirname "$0")/.."
for folder in review/*/testdata/case; do
	go build -o "${folder%/testdata/case}/bin/case" "./$folder"
done
