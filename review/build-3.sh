#!/bin/sh
# Builds what the scripts of the third review start besides the programs of the deploy file: their stand-ins are Python
# programs of the standard library, so this only checks that an interpreter is here and that they compile.
set -eu
cd "$(dirname "$0")"
python3 -B - 1[1-5]/*.py <<'CHECK'
import sys
assert sys.version_info >= (3, 9), "the stand-ins need Python 3.9 or later"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
