#!/bin/sh
# Builds the stand-ins of the scripted cases: Python, without a library. Run at the root.
set -eu
python3 -m py_compile review/lib/standins.py review/*/case.py
