#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: Python, checked for syntax only.
# The programs themselves are built by the deploy file.
set -e
cd "$(dirname "$0")"
python3 - standin2/*.py [4-8]/*.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
