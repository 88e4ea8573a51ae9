#!/bin/sh
# Builds the stand-ins of the scripts: they are Python and use the libraries that the
# build of the deploy file puts under target/deps.
set -e
cd "$(dirname "$0")/.."
if [ ! -d target/deps/trio ] || [ ! -d target/deps/h11 ]; then
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 2
fi
python3 -m compileall -q review/rig review/[1-5] tests/standins
