#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain Python with nothing
# but the standard library, so this only compiles them below target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
PYTHONPYCACHEPREFIX="$PWD/target/review-2" python3 -m compileall -q \
    standins review/lib-2 review/[0-9]*/case.py
