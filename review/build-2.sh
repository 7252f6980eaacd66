#!/bin/sh
# The stand-ins of review/standins-2 are Python without further packages, so nothing is built.
# Checks that the interpreter is there and reads them.
cd "$(dirname "$0")" || exit 1
for file in standins-2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys, tomllib; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
