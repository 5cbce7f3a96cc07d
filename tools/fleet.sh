# shellcheck shell=bash
# Functions for scripts that run a fleet on loopback; sourced, not run.
# Every process is stopped by its id when the script ends, however it ends.

fleet_bin=${BRIARHITCH_BIN_DIR:-build/bin}
fleet_key="fleet key of a loopback trial"
operator_key="operator key of a loopback trial"
# Below the range from which the kernel takes the ports of outgoing connections.
fleet_next_port=$((10000 + $$ % 1000 * 20))
fleet_changes=0
declare -A fleet_pid=() fleet_port=()

hash_of() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

fleet_begin() {
    fleet_folder=$(mktemp -d "${TMPDIR:-/tmp}/briarhitch-XXXXXX")
    trap fleet_end EXIT
    trap 'exit 130' INT TERM
}

fleet_end() {
    local name
    for name in "${!fleet_pid[@]}"; do fleet_kill "$name"; done
    rm -rf "$fleet_folder"
}

# Sets fleet_free to a port that nothing listens on.
fleet_find_port() {
    while (exec 3<> "/dev/tcp/127.0.0.1/$fleet_next_port") 2> /dev/null; do fleet_next_port=$((fleet_next_port + 1)); done
    fleet_free=$fleet_next_port
    fleet_next_port=$((fleet_next_port + 1))
}

# fleet_start NAME PORT PROGRAM FLAGS...
fleet_start() {
    fleet_port[$1]=$2
    "$fleet_bin/$3" "${@:4}" >> "$fleet_folder/$1.log" 2>&1 &
    fleet_pid[$1]=$!
}

fleet_kill() {
    [ -n "${fleet_pid[$1]:-}" ] || return 0
    kill -KILL "${fleet_pid[$1]}" 2> /dev/null || true
    # The shell's own note about the killed job says nothing of interest.
    wait "${fleet_pid[$1]}" 2> /dev/null || true
    unset "fleet_pid[$1]"
}

# fleet_wait DESCRIPTION COMMAND...: polls until the command succeeds, for at most 30 s.
fleet_wait() {
    local what=$1 end=$((SECONDS + 30))
    shift
    until "$@" > /dev/null 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "not in time: $what" >&2
            tail -n 5 "$fleet_folder"/*.log >&2
            exit 1
        fi
        sleep 0.05
    done
}

fleet_get() { curl -fsS --max-time 5 "http://127.0.0.1:${fleet_port[$1]}$2"; }

fleet_wait_ready() { fleet_wait "$1 is ready" fleet_get "$1" /readyz; }

# fleet_start_controls COUNT
fleet_start_controls() {
    local node voters=() ports=()
    fleet_voters=()
    for node in $(seq "$1"); do
        fleet_find_port
        local link=$fleet_free
        fleet_find_port
        voters+=("{\"node\": $((100 + node)), \"host\": \"127.0.0.1\", \"port\": $link, \"admin_port\": $fleet_free}")
        ports+=("$link $fleet_free")
        fleet_voters+=("{\"host\": \"127.0.0.1\", \"port\": $link}")
    done
    for node in $(seq "$1"); do
        local link admin
        read -r link admin <<< "${ports[$((node - 1))]}"
        mkdir "$fleet_folder/data-$node"
        cat > "$fleet_folder/control-$node.json" << END
{
  "node": $((100 + node)),
  "link": {"host": "127.0.0.1", "port": $link},
  "admin": {"host": "127.0.0.1", "port": $admin},
  "data_folder": "$fleet_folder/data-$node",
  "fleet_key": "$fleet_key",
  "operator_key_hashes": ["$(hash_of "$operator_key")"],
  "voters": [$(IFS=,; echo "${voters[*]}")]
}
END
        fleet_start "control-$node" "$admin" briarhitch-control "--config=$fleet_folder/control-$node.json"
    done
}

# fleet_start_entry NODE ZONE
fleet_start_entry() {
    fleet_find_port
    local http=$fleet_free
    fleet_find_port
    cat > "$fleet_folder/entry-$1.json" << END
{
  "node": $1,
  "region": "loopback",
  "zone": "$2",
  "fleet_key": "$fleet_key",
  "http": {"host": "127.0.0.1", "port": $http},
  "link": {"host": "127.0.0.1", "port": $fleet_free},
  "control_voters": [$(IFS=,; echo "${fleet_voters[*]}")]
}
END
    fleet_start "entry-$1" "$http" briarhitch-entry "--config=$fleet_folder/entry-$1.json"
}

# fleet_start_target NAME KIND FLAGS...
fleet_start_target() {
    fleet_find_port
    fleet_start "$1" "$fleet_free" "briarhitch-fake-$2" "--port=$fleet_free" "${@:3}"
    fleet_wait_ready_target "$1"
}

fleet_wait_ready_target() { fleet_wait "$1 listens" fleet_get "$1" /healthz; }

# fleet_admin METHOD PATH [BODY]: asks the voters in turn; a follower names the leader in its redirect.
fleet_admin() {
    local name body=()
    [ $# -gt 2 ] && body=(--data "$3")
    for name in "${!fleet_port[@]}"; do
        [[ $name == control-* ]] || continue
        curl -fsSL --location-trusted --max-time 15 -X "$1" -H "Authorization: Bearer $operator_key" "${body[@]}" "http://127.0.0.1:${fleet_port[$name]}$2" 2> /dev/null && return 0
    done
    return 1
}

# fleet_change METHOD PATH EXPECTED_VERSION FIELDS: sends one change until a leader has answered it.
fleet_change() {
    fleet_changes=$((fleet_changes + 1))
    local change="{\"change_id\": \"loopback-$fleet_changes\", \"expected_version\": $3${4:+, $4}}"
    fleet_wait "change of $2" fleet_admin "$1" "$2?wait_s=10" "$change"
}

# fleet_put_target NAME KIND SERVES ZONE
fleet_put_target() {
    fleet_change PUT "/v1/targets/$1" 0 "\"target\": {\"kind\": \"$2\", \"serves\": \"$3\", \"region\": \"loopback\", \"zone\": \"$4\", \"host\": \"127.0.0.1\", \"port\": ${fleet_port[$1]}}"
}

# fleet_put_customer NAME KEY TIER SHARE EXPECTED_VERSION [CEILING]
fleet_put_customer() {
    fleet_change PUT "/v1/customers/$1" "$5" "\"contract\": {\"tier\": $3, \"share\": $4, \"key_hashes\": [\"$(hash_of "$2")\"], \"ceiling\": ${6:-{\}},
      \"repeatable\": [{\"service\": \"model\"}, {\"service\": \"booking\", \"method\": \"GET\", \"path_prefix\": \"/status/\"}]}"
}
