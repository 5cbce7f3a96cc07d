#!/usr/bin/env bash
# Runs seeded fleets of real processes under failures (briarhitch-soak), several at a time, and prints its tables.
# Exits 1 if a seed failed; its logs are kept in the folder.
# usage: tools/soak.sh [--seeds A..B] [--seconds N] [--jobs J] [--folder DIR] [--shrink]
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=1..4
seconds=20
jobs=2
folder=soak-logs
shrink=
while [ $# -gt 0 ]; do
    case "$1" in
        --shrink) shrink=--shrink; shift; continue ;;
        --seeds) seeds=$2 ;;
        --seconds) seconds=$2 ;;
        --jobs) jobs=$2 ;;
        --folder) folder=$2 ;;
        *) sed -n '4s/^# //p' "$0" >&2; exit 2 ;;
    esac
    shift 2
done
bin=${BRIARHITCH_BIN_DIR:-build/bin}
mkdir -p "$folder"
seq "${seeds%..*}" "${seeds#*..}" | xargs -P "$jobs" -I '{}' \
    sh -c '"$1" --first_seed="$2" --last_seed="$2" --seconds="$3" --keep="$4" $5 > "$4/seed-$2.txt" 2>&1 || true' \
    soak "$bin/briarhitch-soak" '{}' "$seconds" "$folder" "$shrink"
failed=0
for seed in $(seq "${seeds%..*}" "${seeds#*..}"); do
    grep -E '^seed |violation|again:|^  [0-9]' "$folder/seed-$seed.txt" || true
    grep -q '^seeds that failed: 0' "$folder/seed-$seed.txt" || failed=$((failed + 1))
done
echo "injected:" "$(grep -h '^injected:' "$folder"/seed-*.txt | tr ' ' '\n' | awk -F= 'NF == 2 { sum[$1] += $2 } END { for (kind in sum) print kind "=" sum[kind] }' | sort | tr '\n' ' ')"
echo "seeds that failed: $failed"
[ "$failed" = 0 ]
