#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are Python modules, which need no build: this
# only checks that they compile. The programs under test come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - standin-2/*.py $(ls 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py 2>/dev/null) <<'EOF'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
EOF
