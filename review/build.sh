#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs, so there is nothing to compile; checks that they can run.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/[2-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
python3 -c 'import sys; assert sys.version_info >= (3, 8)'
for program in briarhitch-platform-control briarhitch-platform-entry; do
    [ -x "target/bin/$program" ] || { echo "target/bin/$program is missing: run the build of deploy/system.toml first" >&2; exit 1; }
done
