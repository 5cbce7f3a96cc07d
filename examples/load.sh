#!/usr/bin/env bash
# Loads the contracts and targets of a deployment into its control log. It may be run again: each object
# is then written over its present version. A target that was drained becomes active again.
# usage: examples/load.sh DEPLOYMENT_FOLDER [CTL FLAGS]   flags default to --profile DEPLOYMENT_FOLDER/profile.json
# example: examples/load.sh examples/lockstone --servers 127.0.0.1:7101 --key KEY
set -euo pipefail
[ -d "${1:-}" ] || { sed -n '4,5s/^# //p' "$0" >&2; exit 2; }
folder=$1
shift
flags=("$@")
[ ${#flags[@]} -gt 0 ] || flags=(--profile "$folder/profile.json")
ctl=${BRIARHITCH_CTL:-"$(dirname "$0")/../build/bin/briarhitch-ctl"}

# Exit code 4 means that the change is accepted, but that not every node has applied it yet.
run() {
    local code=0
    "$ctl" "${flags[@]}" "$@" || code=$?
    [ "$code" = 0 ] || [ "$code" = 4 ] || { echo "failed with exit code $code: $*" >&2; exit "$code"; }
}

for file in "$folder"/contracts/*.json; do
    run customer set "$(basename "$file" .json)" --file "$file"
done
while read -r name kind serves region zone host port hardware slots checks_fencing; do
    case "$name" in "" | \#*) continue ;; esac
    run target add "$name" --file - << END
{"kind": "$kind", "serves": "$serves", "region": "$region", "zone": "$zone", "host": "$host", "port": $port,
 "hardware": "${hardware/#-/}", "slots": $slots, "checks_fencing": $checks_fencing}
END
done < "$folder/targets.txt"
