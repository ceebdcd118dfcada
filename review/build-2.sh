#!/usr/bin/env bash
# The stand-ins of the scripts in review/4 and later: they need nothing but
# Python's standard library, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in kit2.py backend2.py [4-8]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
