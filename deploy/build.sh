#!/bin/sh
# Puts libraries and sources, compiled, under target/deps; run at the root of a checkout.
# Libraries are installed again when their list has changed, sources are copied each time.
set -eu
deps=target/deps
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --no-deps --target "$deps" -r deploy/requirements.txt
    python3 -m compileall -q "$deps"
    cp deploy/requirements.txt target/requirements.txt
fi
rm -rf "$deps/coralfall"
cp -r src/coralfall "$deps/coralfall"
python3 -m compileall -q "$deps/coralfall"
