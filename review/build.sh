#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: the project's and the review's.
# They are Python without dependencies, so it compiles them into target/.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review-pycache python3 -m compileall -q standins review
