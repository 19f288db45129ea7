#!/bin/sh
# The stand-ins are Python programs of the standard library: nothing is compiled. Checks that they
# can be read.
cd "$(dirname "$0")" || exit 1
for file in standin/*.py [0-9]*/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
