#!/bin/sh
# Case 5; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -d target/deps/coralfall || { echo "run deploy/build.sh first"; exit 2; }
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 review/5/case.py
