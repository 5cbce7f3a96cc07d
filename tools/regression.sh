#!/usr/bin/env bash
# Plays the quick days of the deployments in force as regression runs and prints one line for each: its gate and score.
# The program that plays them and the site files are the users' own, so both are arguments.
# usage: tools/regression.sh PROGRAM SITES_FOLDER [SITE...]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 2 ]; then
    echo "usage: tools/regression.sh PROGRAM SITES_FOLDER [SITE...]" >&2
    exit 2
fi
program=$1
sites_folder=$2
shift 2
sites=("$@")
if [ ${#sites[@]} -eq 0 ]; then
    sites=(grown/lockstone-moor-grown grown/pincel-rota-grown further/arase-hives further-grown/arase-hives-grown large/lockstone-moor-large)
fi
failed=0
for site in "${sites[@]}"; do
    log=$(mktemp)
    "$program" score "$sites_folder/$site.toml" --quick --jobs 3 --why "regression run" > "$log" 2>&1 || true
    gate=$(grep -oE 'GATE (passed|failed)' "$log" | tail -n 1 || true)
    score=$(grep -oE ': [0-9.]+$' "$log" | head -n 1 | tr -d ': ' || true)
    echo "$site: ${gate:-no result}, score ${score:-none}"
    if [ "$gate" = "GATE passed" ]; then
        rm -f "$log"
    else
        echo "  output: $log"
        failed=1
    fi
done
exit "$failed"
