#!/bin/sh
# Builds the programs that the cases start beside the server: each case's own stand-ins.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin/review || exit 2
for folder in review/[0-9]*/; do
	n=$(basename "$folder")
	go build -o "bin/review/case$n" "./review/$n" || exit 1
done
