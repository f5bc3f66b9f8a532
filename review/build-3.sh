#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs that need nothing but its standard library; this checks that they
# compile. The program under test is the one that the build of the deploy file makes, target/fescued.
set -e
cd "$(dirname "$0")"
for file in standin-3/*.py 1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
