#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the project's own programs:
# the engine, the callers, the backend and the platform of each, in one program. It
# runs after the build command of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin/review || exit 2
for n in 6 7 8 9 10; do
	go build -o "bin/review/case$n" "./review/$n" || exit 1
done
exec go build -o bin/review/play ./review/rig2/play
