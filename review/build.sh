#!/bin/sh
# The stand-ins are Python programs that use only the standard library, so there is nothing to compile. Checks that the
# interpreter can read them.
cd "$(dirname "$0")" || exit 1
for file in standin/standin.py [1-5]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
