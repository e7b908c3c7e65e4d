#!/bin/sh
# Prepares the stand-ins of the third review.  They are Python, so that there
# is nothing to compile; this checks that they load.  Run from anywhere.
set -e
cd "$(dirname "$0")/.."
for file in review/common-3/*.py review/1[1-5]/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
