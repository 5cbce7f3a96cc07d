#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs, so there is nothing to compile; checks that they can run.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q -f -b review/common -d review/common > /dev/null
rm -f review/common/*.pyc
python3 -c 'import sys; assert sys.version_info >= (3, 8)'
for program in briarhitch-platform-control briarhitch-platform-entry; do
    [ -x "target/bin/$program" ] || { echo "target/bin/$program is missing: run the build of deploy/system.toml first" >&2; exit 1; }
done
