#!/bin/sh
# Builds the programs that the cases start beside the project's own: their stand-ins, one program a case.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/testdata/case*; do
	go build -o "review/bin/$(basename "$folder")" "./$folder"
done
