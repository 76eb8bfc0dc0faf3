#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: they are Python of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib-2
