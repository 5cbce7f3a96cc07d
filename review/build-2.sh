#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are in Python and need no build; checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed (tomllib)"'
for script in {6,7,9,10}/{fleet,case}.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
for program in briarhitch-platform-control briarhitch-platform-entry; do
    [ -x "../target/bin/$program" ] || { echo "target/bin/$program is missing: run the build of deploy/system.toml first" >&2; exit 1; }
done
