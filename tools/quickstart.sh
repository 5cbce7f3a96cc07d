#!/usr/bin/env bash
# Builds the project if needed, runs the whole path on loopback, shows one request of each kind, a
# contract change and a drained target, and stops everything again.
# usage: tools/quickstart.sh [--keep]   --keep leaves the fleet up until Enter or Ctrl-C
set -euo pipefail
cd "$(dirname "$0")/.."
keep=no
case "${1:-}" in
    "") ;;
    --keep) keep=yes ;;
    *) sed -n '4s/^# //p' "$0" >&2; exit 2 ;;
esac

tools/packages.sh
cmake -S . -B build -G Ninja > /dev/null
cmake --build build --target briarhitch-control briarhitch-entry briarhitch-ctl briarhitch-fake-engine briarhitch-fake-service | tail -n 1

source tools/fleet.sh
fleet_begin
customer_key="harbour key"

step() { printf '\n== %s\n' "$*"; }
# ask PORT PATH [CURL FLAGS]: sends a customer's request, prints status and answer; fails unless the status is 2xx.
ask() { curl -sS --fail-with-body --max-time 20 -w '\n(status %{http_code})\n' -H "Authorization: Bearer $customer_key" "http://127.0.0.1:$1$2" "${@:3}"; }
chat() { printf '{"model": "small", "max_tokens": %s, "stream": %s, "messages": [{"role": "user", "content": "%s"}]}' "$2" "$3" "$1"; }
requests_at() { fleet_get "$1" /admin/ledger | jq '.requests | length'; }
first_answer() { ask "$1" /v1/chat/completions -d "$(chat 'warm up' 1 false)" && ask "$1" /services/booking/status/warm-up; }

step "start: 1 control, 2 entries, 2 engines, 1 booking service"
fleet_start_controls 1
fleet_start_target engine-1 engine --step_time=5ms
fleet_start_target engine-2 engine --step_time=15ms
fleet_start_target booking-1 service
fleet_start_entry 1 duluth
fleet_start_entry 2 sault
fleet_put_customer harbour "$customer_key" 1 1 0
fleet_put_target engine-1 engine small duluth
fleet_put_target engine-2 engine small sault
fleet_put_target booking-1 service booking duluth
for node in 1 2; do
    fleet_wait_ready "entry-$node"
    fleet_wait "entry-$node answers" first_answer "${fleet_port[entry-$node]}"
done
entry=${fleet_port[entry-1]}
other=${fleet_port[entry-2]}

step "a streamed model request"
ask "$entry" /v1/chat/completions -N -d "$(chat 'List the berths.' 4 true)"
step "a whole model request"
ask "$other" /v1/chat/completions -d "$(chat 'Is berth 7 free?' 6 false)"
step "a deposit charge, sent twice with one key through two entries"
ask "$entry" /services/booking/charges -H 'Idempotency-Key: deposit-1' -d '{"charge_id": "deposit-1", "amount": 100}'
ask "$other" /services/booking/charges -H 'Idempotency-Key: deposit-1' -d '{"charge_id": "deposit-1", "amount": 100}'
charged=$(fleet_get booking-1 /admin/ledger | jq '.charges["deposit-1"]')
echo "the service's ledger has it $charged time(s)"
[ "$charged" = 1 ]
step "a status lookup"
ask "$entry" /services/booking/status/deposit-1

step "a contract change: the customer gets a new key"
old_key=$customer_key
customer_key="new harbour key"
fleet_put_customer harbour "$customer_key" 1 1 1
fleet_admin GET /v1/customers/harbour | jq -c '{name, version, state}'
status=$(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $old_key" "http://127.0.0.1:$other/services/booking/status/x")
echo "the old key gets status $status"
[ "$status" = 401 ]
ask "$other" /services/booking/status/deposit-1

step "a drained target: engine-1 gets no new work"
fleet_change POST /v1/targets/engine-1/drain 1
before=$(requests_at engine-1)
before_other=$(requests_at engine-2)
for number in $(seq 10); do
    port=$([ $((number % 2)) = 0 ] && echo "$entry" || echo "$other")
    ask "$port" /v1/chat/completions -d "$(chat "After the drain $number" 2 false)" > /dev/null
done
echo "engine-1 received $(($(requests_at engine-1) - before)) requests, engine-2 $(($(requests_at engine-2) - before_other))"
[ "$(requests_at engine-1)" = "$before" ]

if [ "$keep" = yes ]; then
    step "the fleet stays up"
    cat << END
callers:   curl -H 'Authorization: Bearer $customer_key' http://127.0.0.1:$entry/v1/chat/completions -d '$(chat 'Hello' 8 false)'
           curl -H 'Authorization: Bearer $customer_key' http://127.0.0.1:$other/services/booking/status/deposit-1
operators: curl -H 'Authorization: Bearer $operator_key' http://127.0.0.1:${fleet_port[control-1]}/v1/status
           build/bin/briarhitch-ctl --servers 127.0.0.1:${fleet_port[control-1]} --key '$operator_key' status
rate limit: curl -d '{"rate_limit": 2}' http://127.0.0.1:${fleet_port[booking-1]}/admin/faults   # the service names a limit; {} ends it
files:     $fleet_folder
Enter or Ctrl-C stops everything.
END
    # Without a terminal there is no Enter; then only a signal ends it.
    read -r || wait
fi
step "done in $SECONDS s"
