#!/usr/bin/env bash
# Measures every case with every policy and writes the figures to docs/data/; docs/DECISIONS.md cites them.
# usage: tools/bench.sh [BUILD_DIR [SEEDS [JOBS]]]
set -euo pipefail
cd "$(dirname "$0")/.."
bench=${1:-build}/bin/briarhitch-bench
seeds=${2:-20}
jobs=${3:-3}
data=docs/data
parts_seeds=$(( seeds < 10 ? seeds : 10 ))
mkdir -p "$data"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Runs the argument lists on standard input side by side and joins the results in the order of the input.
run_all() {
    local out=$1 directory
    directory=$(mktemp -d -p "$work")
    nl -w6 -nrz -s' ' | xargs -P "$jobs" -L1 bash -c 'set -euo pipefail
        bench=$1; directory=$2; number=$3; shift 3
        timeout 600 "$bench" --json "$@" > "$directory/$number.json"' _ "$bench" "$directory"
    cat "$directory"/*.json > "$out"
}

lists() {
    local deployment name policy
    for deployment in lockstone pincel; do
        for name in $("$bench" --case=list); do
            for policy in briarhitch naive two-choices; do
                echo "--case=$name --policy=$policy --deployment=$deployment --seeds=$seeds${1:+ $1}"
            done
        done
    done
}

# The same seed must give the same result but for the time of a decision.
first=$("$bench" --case=mixed --seed=7 --json | sed 's/"ns_per_decision":[0-9.]*//')
second=$("$bench" --case=mixed --seed=7 --json | sed 's/"ns_per_decision":[0-9.]*//')
[ "$first" = "$second" ] || { echo "tools/bench.sh: equal seeds gave different results" >&2; exit 1; }

lists | run_all "$data/cases.jsonl"
lists --arrivals=bursts | run_all "$data/bursts.jsonl"

# Each part of the policy switched off, in the cases that are meant to need it.
{
    for deployment in lockstone pincel; do
        for pair in overload-1.5:tiers overload-1.5:deadline overload-3:deadline flood-least:fair flood-urgent-over:fair \
            large-customers-one-tier:fair large-customers-one-tier:lengths long-and-short:lengths wrong-slots:window \
            slow-engine:window prefix-heavy:prefix engine-lost:backoff mixed:backoff; do
            echo "--case=${pair%%:*} --deployment=$deployment --seeds=$parts_seeds"
            echo "--case=${pair%%:*} --deployment=$deployment --seeds=$parts_seeds --disable=${pair##*:}"
        done
        echo "--case=flood-urgent --deployment=$deployment --seeds=$parts_seeds"
        echo "--case=flood-urgent --deployment=$deployment --seeds=$parts_seeds --floors=tag:0.05"
        echo "--case=flood-urgent-over --deployment=$deployment --seeds=$parts_seeds"
        echo "--case=flood-urgent-over --deployment=$deployment --seeds=$parts_seeds --floors=tag:0.05,plan:0.2,catalogue:0.2"
    done
} | uniq | run_all "$data/parts.jsonl"

# The tier rule with a queue short enough to shed; naive without pipelining shows that the check can fail.
{
    for name in $("$bench" --case=list); do
        echo "--case=$name --seeds=$parts_seeds --max_queued=60"
        echo "--case=$name --seeds=$parts_seeds --max_queued=60 --policy=naive --disable=pipelining"
    done
} | run_all "$data/shedding.jsonl"

printf '%s\n' "--case=scale --policy=briarhitch" "--case=scale --policy=naive" "--case=scale --policy=two-choices" | jobs=1 run_all "$data/scale.jsonl"
"$bench" --table="$data/cases.jsonl" > "$data/cases.md"
"$bench" --bars="$data/cases.jsonl" > "$data/bars.md"
"$bench" --bars="$data/bursts.jsonl" > "$data/bars-bursts.md"
"$bench" --table="$data/parts.jsonl" > "$data/parts.md"
"$bench" --table="$data/shedding.jsonl" > "$data/shedding.md"
