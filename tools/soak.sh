#!/usr/bin/env bash
# Runs the whole fleet on loopback under load with random failures, and then checks the promises from the
# targets' ledgers. Prints requests, injected failures and violations; exits 1 on any violation.
# usage: tools/soak.sh [--seconds N] [--seed S] [--rate R] [--folder DIR]   --folder keeps logs and ledgers there
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=60
seed=1
rate=40
keep_folder=
while [ $# -gt 0 ]; do
    case "$1" in
        --seconds) seconds=$2 ;;
        --seed) seed=$2 ;;
        --rate) rate=$2 ;;
        --folder) keep_folder=$2 ;;
        *) sed -n '4s/^# //p' "$0" >&2; exit 2 ;;
    esac
    shift 2
done

source tools/fleet.sh
fleet_begin
RANDOM=$seed
entries=(1 2 3)
controls=(1 2 3)
targets=(engine-1 engine-2 engine-3 booking-1 booking-2)
declare -A injected=()
# Recoveries that are due later: "MILLISECOND COMMAND".
pending=()

now_ms() { date +%s%3N; }
# Sets picked; a command substitution would draw from a copy of the generator.
pick() { local list=("$@"); picked=${list[$((RANDOM % $#))]}; }
later() { pending+=("$(($(now_ms) + $1)) ${*:2}"); }
inject() { injected[$1]=$((${injected[$1]:-0} + 1)); }

# A process that a failure already holds down is left alone until its recovery.
declare -A down=()
revive() { fleet_kill "$1"; fleet_restart "$1"; unset "down[$1]"; }
wake() { fleet_signal CONT "$1"; unset "down[$1]"; }
end_fault() { curl -fsS --max-time 2 -o /dev/null -d '{}' "http://127.0.0.1:${fleet_port[$1]}/admin/faults" || true; unset "down[$1]"; }
# The entry drains first; what is still running after that time is cut off by the restart.
restart_drained() { fleet_signal TERM "$1"; later 8000 revive "$1"; }

fail_once() {
    local action victim
    pick kill_entry freeze_entry drain_entry kill_control freeze_control fault fault fault
    action=$picked
    case $action in
        *_entry) pick "${entries[@]/#/entry-}" ;;
        *_control) pick "${controls[@]/#/control-}" ;;
        fault) pick "${targets[@]}" ;;
    esac
    victim=$picked
    [ -z "${down[$victim]:-}" ] || return 0
    down[$victim]=yes
    case $action in
        kill_*) fleet_kill "$victim"; later $((500 + RANDOM % 4000)) revive "$victim" ;;
        freeze_*) fleet_signal STOP "$victim"; later $((300 + RANDOM % 6000)) wake "$victim" ;;
        drain_entry) restart_drained "$victim" ;;
        fault)
            pick stall reset refuse late slow
            action=fault_$picked
            local order="{\"mode\": \"${action#fault_}\", \"count\": $((1 + RANDOM % 4)), \"after_events\": $((RANDOM % 20)), \"late_ms\": $((RANDOM % 4000))}"
            [ "$action" = fault_slow ] && order="{\"slowdown\": $((2 + RANDOM % 8))}"
            [[ $victim == booking-* ]] && order=${order/\"after_events\": +([0-9])/\"after_events\": 0}
            curl -fsS --max-time 2 -o /dev/null -d "$order" "http://127.0.0.1:${fleet_port[$victim]}/admin/faults" || true
            later $((1000 + RANDOM % 4000)) end_fault "$victim"
            ;;
    esac
    inject "$action"
}
shopt -s extglob

recover_due() {
    local left=() item now
    now=$(now_ms)
    for item in "${pending[@]}"; do
        if [ "${item%% *}" -le "$now" ]; then
            # shellcheck disable=SC2086
            ${item#* }
        else
            left+=("$item")
        fi
    done
    pending=("${left[@]}")
}

fleet_start_controls 3
fleet_start_target engine-1 engine --step_time=4ms --check_fencing
fleet_start_target engine-2 engine --step_time=8ms --check_fencing
fleet_start_target engine-3 engine --step_time=16ms
fleet_start_target booking-1 service
fleet_start_target booking-2 service --call_time=20ms
fleet_start_entry 1 duluth
fleet_start_entry 2 sault
fleet_start_entry 3 erie
fleet_put_customer harbour "harbour key" 0 1 0
fleet_put_customer ferries "ferries key" 1 4 0
fleet_put_customer archive "archive key" 2 1 0
for target in "${targets[@]}"; do
    if [[ $target == engine-* ]]; then fleet_put_target "$target" engine small duluth; else fleet_put_target "$target" service booking sault; fi
done
cat > "$fleet_folder/customers.json" << 'END'
{"customers": [
  {"name": "harbour", "key": "harbour key", "tier": 0, "weight": 1, "mix": {"stream": 2, "whole": 2, "status": 2, "charge": 3}},
  {"name": "ferries", "key": "ferries key", "tier": 1, "weight": 3, "mix": {"stream": 3, "whole": 2, "status": 2, "charge": 2}},
  {"name": "archive", "key": "archive key", "tier": 2, "weight": 1, "mix": {"stream": 1, "tag": 3}}
]}
END
first_answer() {
    curl -fsS --max-time 15 -H "Authorization: Bearer harbour key" "http://127.0.0.1:${fleet_port[$1]}/services/booking/status/$2" \
        && curl -fsS --max-time 15 -H "Authorization: Bearer harbour key" "http://127.0.0.1:${fleet_port[$1]}/v1/completions" -d '{"model": "small", "max_tokens": 2, "prompt": "hello"}'
}
for node in "${entries[@]}"; do
    fleet_wait_ready "entry-$node"
    fleet_wait "entry-$node answers" first_answer "entry-$node" before
done

load_entries=$(for node in "${entries[@]}"; do printf '127.0.0.1:%s,' "${fleet_port[entry-$node]}"; done)
"$fleet_bin/briarhitch-load" --entries="$load_entries" --customers="$fleet_folder/customers.json" --seed="$seed" --rate="$rate" \
    --time="${seconds}s" --count=1000000 --max_tokens=32 --longest_prompt=1000 --deadline=10s --timeout=30s \
    --journal="$fleet_folder/journal" > "$fleet_folder/load.json" 2> "$fleet_folder/load.log" &
fleet_pid[load]=$!

end=$((SECONDS + seconds))
next=0
while [ "$SECONDS" -lt "$end" ]; do
    recover_due
    if [ "$(now_ms)" -ge "$next" ]; then
        fail_once
        next=$(($(now_ms) + 200 + RANDOM % 1500))
    fi
    sleep 0.1
done
while [ ${#pending[@]} -gt 0 ]; do
    recover_due
    sleep 0.1
done

violations=0
violation() { echo "violation: $*"; violations=$((violations + 1)); }

load_rc=0
wait "${fleet_pid[load]}" || load_rc=$?
unset "fleet_pid[load]"
[ "$load_rc" -le 1 ] || violation "the load generator ended with status $load_rc"
for node in "${entries[@]}"; do
    fleet_wait_ready "entry-$node"
    fleet_wait "entry-$node answers after all failures" first_answer "entry-$node" after
done

for target in "${targets[@]}"; do fleet_get "$target" /admin/ledger > "$fleet_folder/$target.ledger"; done
engines=("$fleet_folder"/engine-*.ledger)
services=("$fleet_folder"/booking-*.ledger)

# Each check prints one line for each violation.
jq -rs '[.[].charges | to_entries[]] | group_by(.key)[] | {key: .[0].key, times: (map(.value) | add)} | select(.times > 1) | "charge \(.key) ran \(.times) times"' "${services[@]}" > "$fleet_folder/violations"
for ledger in "${engines[@]}" "${services[@]}"; do
    jq -r --arg target "$(basename "$ledger" .ledger)" '[.requests[] | select(.id | test("^[0-9a-f]{16}-[0-9]+$")) | .id | split("-")[0]] | group_by(.)[] | select(length > 1) | "request \(.[0]) reached \($target) \(length) times"' "$ledger"
done >> "$fleet_folder/violations"
{
    jq -r '.requests[] | select(.state != "refused" and .state != "fenced") | .prompt' "${engines[@]}"
    jq -r '.charges | keys[]' "${services[@]}"
    jq -r '.requests[] | select(.ran and (.call | startswith("GET /status/"))) | .call | ltrimstr("GET /status/")' "${services[@]}"
} | sort -u > "$fleet_folder/ran"
jq -r 'select(any(.sendings[]; .verdict == "refused") and all(.sendings[]; .verdict == "unreachable" or (.verdict == "refused" and .ran == "no"))) | .name' "$fleet_folder/journal" | sort -u > "$fleet_folder/not-ran"
comm -12 "$fleet_folder/ran" "$fleet_folder/not-ran" | sed 's/^/told ran = no, but it is in a ledger: /' >> "$fleet_folder/violations"
jq -r 'select(any(.sendings[]; .verdict == "right")) | .name' "$fleet_folder/journal" | sort -u > "$fleet_folder/answered"
comm -13 "$fleet_folder/ran" "$fleet_folder/answered" | sed 's/^/answered, but it is in no ledger: /' >> "$fleet_folder/violations"
while read -r line; do violation "$line"; done < "$fleet_folder/violations"
wrong=$(jq .wrong "$fleet_folder/load.json")
[ "$wrong" = 0 ] || violation "$wrong wrong answers"

jq '{offered, answered, broken, unreachable, resent, refused, goodput_by_tier}' "$fleet_folder/load.json"
echo "ledgers: $(wc -l < "$fleet_folder/ran") names of requests that ran; $(wc -l < "$fleet_folder/not-ran") told ran = no"
echo "failures injected:$(for kind in "${!injected[@]}"; do printf ' %s=%s' "$kind" "${injected[$kind]}"; done | tr ' ' '\n' | sort | tr '\n' ' ')"
echo "seed $seed, $seconds s, violations: $violations"
if [ -n "$keep_folder" ]; then
    mkdir -p "$keep_folder"
    cp "$fleet_folder"/*.log "$fleet_folder"/*.ledger "$fleet_folder"/*.json "$fleet_folder"/journal "$keep_folder"
fi
[ "$violations" = 0 ]
