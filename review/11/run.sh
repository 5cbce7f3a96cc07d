#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
exec timeout -k 5 115 python3 -B "$(dirname "$0")/scenario.py"
