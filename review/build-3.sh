#!/bin/sh
# Builds the stand-ins of the third review: they are Python of the standard library.
# Run it after the build command of the deploy file, which builds the programs.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -d target/deps/hemlocktrestle
python3 -m compileall -q review/rig3 review/11 review/12 review/13 review/14 review/15
