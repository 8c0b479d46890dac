#!/bin/sh
# Builds the stand-ins of the cases 6 and later: they are plain Python without dependencies.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q 6
