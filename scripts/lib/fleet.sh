# Functions that start and stop a fleet of real processes on loopback.
# Source it after setting FLEET_DIR, the folder for settings and logs.

FLEET_BIN=${FLEET_BIN:-build/bin}
FLEET_BASE_PORT=${FLEET_BASE_PORT:-21000}
FLEET_STORE_PORT=$FLEET_BASE_PORT
FLEET_PIDS=()

mkdir -p "$FLEET_DIR"

# start NAME COMMAND... runs a program in the background; its output goes to
# NAME.log. Sets LAST_PID.
start() {
    local name=$1
    shift
    "$@" >"$FLEET_DIR/$name.log" 2>&1 &
    LAST_PID=$!
    FLEET_PIDS+=("$LAST_PID")
}

stop_fleet() {
    local pid
    for pid in "${FLEET_PIDS[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${FLEET_PIDS[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    FLEET_PIDS=()
}

# wait_for SECONDS COMMAND... repeats a command until it succeeds.
wait_for() {
    local until=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$until" ]; then
            echo "gave up waiting for: $*" >&2
            return 1
        fi
        sleep 0.05
    done
}

# daemon_port INDEX OFFSET: each daemon has a block of 10 ports.
daemon_port() { echo $((FLEET_BASE_PORT + 100 + 10 * $1 + $2)); }

# write_daemon_settings INDEX FAILURE_DOMAIN [DRAIN_NOTICE_MS]
write_daemon_settings() {
    cat >"$FLEET_DIR/daemon-$1.json" <<JSON
{
    "deployment": "loopback",
    "daemon": "daemon-$1",
    "failure_domain": "$2",
    "listen": "127.0.0.1:$(daemon_port "$1" 0)",
    "metrics": "127.0.0.1:$(daemon_port "$1" 1)",
    "peer": "127.0.0.1:$(daemon_port "$1" 2)",
    "peer_http": "127.0.0.1:$(daemon_port "$1" 3)",
    "operator_rpc": "127.0.0.1:$(daemon_port "$1" 4)",
    "store": "127.0.0.1:$FLEET_STORE_PORT",
    "vm_list": "127.0.0.1:$FLEET_STORE_PORT",
    "shared_key": "loopback key, not a secret",
    "threads": 1,
    "drain_notice_ms": ${3:-200}
}
JSON
}

# start_daemon INDEX FAILURE_DOMAIN; sets LAST_PID.
start_daemon() {
    write_daemon_settings "$1" "$2" "${3:-200}"
    start "daemon-$1" "$FLEET_BIN/yuccabeamd" \
        --settings "$FLEET_DIR/daemon-$1.json"
}

is_ready() {
    curl -sf "http://127.0.0.1:$(daemon_port "$1" 0)/.yuccabeam/ready"
}

start_store() {
    start store "$FLEET_BIN/standin_store" \
        --address "127.0.0.1:$FLEET_STORE_PORT"
    wait_for 20 curl -sf "http://127.0.0.1:$FLEET_STORE_PORT/v1/stats"
}

# set_vms JSON_ARRAY
set_vms() {
    curl -sf -X PUT -d "$1" \
        "http://127.0.0.1:$FLEET_STORE_PORT/v1/vms" >/dev/null
}

# write_ctl_settings DAEMON_INDEX...
write_ctl_settings() {
    local index list=""
    for index in "$@"; do
        list="$list${list:+,}{\"operator_rpc\":\"127.0.0.1:$(daemon_port "$index" 4)\"}"
    done
    cat >"$FLEET_DIR/ctl.json" <<JSON
{"author": "$(id -un)", "store": "127.0.0.1:$FLEET_STORE_PORT",
 "daemons": [$list]}
JSON
}

# set_daemon_vms INDEX:DOMAIN... lists daemons as live VMs.
set_daemon_vms() {
    local entry list=""
    for entry in "$@"; do
        list="$list${list:+,}{\"id\":\"daemon-${entry%%:*}\",\"role\":\"daemon\",\"failure_domain\":\"${entry##*:}\",\"address\":\"127.0.0.1:$(daemon_port "${entry%%:*}" 2)\"}"
    done
    set_vms "[$list]"
}
