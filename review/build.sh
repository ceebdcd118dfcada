#!/bin/sh
# The stand-ins are Python programs of this folder that use the standard
# library alone: there is nothing to build but their byte code.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q harness.py server.py store.py
