#!/bin/bash
# Builds what the scripts of review/4 and later ones start, after the build of
# the deploy file: only the standard library of Python is used.
cd "$(dirname "$0")/.." || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
for file in review/loopback.py review/*/case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" \
        "$file" || exit 1
done
