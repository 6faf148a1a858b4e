#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the project's own
# programs: the engine, the callers, the backend and the platform in one program.
# It runs after the build command of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && exec go build -o bin/rig2 ./review/rig2
