#!/usr/bin/env bash
# Exits with 1 if more than two streams hold events of two software versions, 0 if not, 2 if the case could not run.
# The second script, with a frozen owner, is run where the rule holds in the first one.
cd "$(dirname "$0")" || exit 2
timeout --kill-after=5 55 python3 run.py
result=$?
[ "$result" = 0 ] || exit "$result"
exec timeout --kill-after=5 55 python3 freeze.py
