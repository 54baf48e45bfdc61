# Functions that start and stop a small fleet of processes on loopback.
#
# Sourced by the demo and the experiments. When the sourcing script exits, for
# whatever reason, every started process is terminated by its process ID.

FLEET_BIN=${FLEET_BIN:-target/release}
FLEET_PORT=${FLEET_PORT:-23000}
FLEET_DIR=$(mktemp -d)
FLEET_PIDS=()
FLEET_ENGINES=()
FLEET_SERVICES=()
FLEET_DAEMONS=()
FLEET_DAEMON_PIDS=()
FLEET_INSTANCES=()
# Additional command-line arguments for every daemon.
FLEET_DAEMON_ARGUMENTS=()

fleet_stop() {
    local pid
    for pid in "${FLEET_PIDS[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${FLEET_PIDS[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    FLEET_PIDS=()
    rm -rf "$FLEET_DIR"
}
trap fleet_stop EXIT

# fleet_run NAME COMMAND...: starts a process in the background and redirects its
# output to $FLEET_DIR/NAME.log.
fleet_run() {
    local name=$1
    shift
    "$@" >"$FLEET_DIR/$name.log" 2>&1 &
    FLEET_PIDS+=($!)
}

# fleet_instance NAME ZONE ROLE_JSON: adds an entry to the platform's instance list.
fleet_instance() {
    FLEET_INSTANCES+=("{\"instance\":\"$1\",\"region\":\"region-1\",\"availability_zone\":\"$2\",\"state\":\"live\",\"role\":$3}")
}

# fleet_engine NAME ZONE MODEL [--set NAME=VALUE]...: starts an emulated engine and
# lists it.
fleet_engine() {
    local name=$1 zone=$2 model=$3
    shift 3
    local address=127.0.0.1:$((FLEET_PORT + 100 + ${#FLEET_ENGINES[@]}))
    FLEET_ENGINES+=("$address")
    fleet_instance "$name" "$zone" "{\"kind\":\"engine\",\"address\":\"$address\",\"model\":\"$model\"}"
    fleet_run "$name" "$FLEET_BIN/mangofront" standin engine --address "$address" --set "model=$model" "$@"
}

# fleet_service NAME ZONE SERVICE [--set NAME=VALUE]...: starts an emulated service
# instance and lists it.
fleet_service() {
    local name=$1 zone=$2 service=$3
    shift 3
    local address=127.0.0.1:$((FLEET_PORT + 200 + ${#FLEET_SERVICES[@]}))
    FLEET_SERVICES+=("$address")
    fleet_instance "$name" "$zone" "{\"kind\":\"service\",\"address\":\"$address\",\"service\":\"$service\"}"
    fleet_run "$name" "$FLEET_BIN/mangofront" standin service --address "$address" "$@"
}

# fleet_daemon NAME ZONE: lists a daemon and writes its settings; fleet_start
# starts the process.
fleet_daemon() {
    local name=$1 zone=$2 index=${#FLEET_DAEMONS[@]}
    local callers=127.0.0.1:$((FLEET_PORT + 300 + index))
    local links=127.0.0.1:$((FLEET_PORT + 400 + index))
    local operators=127.0.0.1:$((FLEET_PORT + 500 + index))
    FLEET_DAEMONS+=("$name")
    fleet_instance "$name" "$zone" "{\"kind\":\"entry\",\"peer_address\":\"$links\",\"caller_address\":\"$callers\"}"
    cat >"$FLEET_DIR/$name.jsonc" <<SETTINGS
{
  "instance": "$name",
  "region": "region-1",
  "availability_zone": "$zone",
  "caller_address": "$callers",
  "peer_address": "$links",
  "admin_address": "$operators",
  "platform_address": "127.0.0.1:$FLEET_PORT",
  "logs": {"level": "${FLEET_LOG_LEVEL:-info}"}
}
SETTINGS
}

# fleet_start CONFIGURATION_FILE: starts the platform and the daemons, and waits
# until all daemons are ready.
fleet_start() {
    local list name
    list=$(IFS=,; echo "${FLEET_INSTANCES[*]}")
    echo "{\"instances\":[$list]}" >"$FLEET_DIR/instances.json"
    fleet_run platform "$FLEET_BIN/mangofront" standin platform \
        --address "127.0.0.1:$FLEET_PORT" \
        --set "configuration=@$1" --set "instances=@$FLEET_DIR/instances.json"
    for name in "${FLEET_DAEMONS[@]}"; do
        fleet_run "$name" "$FLEET_BIN/mangofrontd" --settings "$FLEET_DIR/$name.jsonc" \
            "${FLEET_DAEMON_ARGUMENTS[@]}"
        FLEET_DAEMON_PIDS+=("${FLEET_PIDS[-1]}")
    done
    fleet_wait_ready
}

# fleet_wait_ready: waits until every daemon has a configuration, which is when
# /v1/models succeeds.
fleet_wait_ready() {
    local index tries
    for index in "${!FLEET_DAEMONS[@]}"; do
        tries=0
        until curl -sf -o /dev/null -m 1 "127.0.0.1:$((FLEET_PORT + 300 + index))/v1/models"; do
            tries=$((tries + 1))
            if [ "$tries" -ge 100 ]; then
                echo "${FLEET_DAEMONS[$index]} did not become ready" >&2
                cat "$FLEET_DIR/${FLEET_DAEMONS[$index]}.log" >&2
                return 1
            fi
            sleep 0.1
        done
    done
}

# fleet_targets: prints the caller addresses of all daemons, comma-separated.
fleet_targets() {
    local index targets=()
    for index in "${!FLEET_DAEMONS[@]}"; do
        targets+=("127.0.0.1:$((FLEET_PORT + 300 + index))")
    done
    (IFS=,; echo "${targets[*]}")
}

# fleet_admin INDEX: prints the admin address of a daemon.
fleet_admin() {
    echo "127.0.0.1:$((FLEET_PORT + 500 + $1))"
}

# fleet_publish KIND JSON_FILE: publishes a new configuration or instance list.
fleet_publish() {
    curl -sf -o /dev/null -m 5 -X PUT --data-binary "@$2" "127.0.0.1:$FLEET_PORT/control/$1"
}

# fleet_vouch CONFIGURATION_FILE: publishes the current time as the fleet's first
# start, which declares that no idempotency key was sent before. Voters accept the
# declaration only if it is at least 2 s (their clock margin) later than the
# moment at which they received the instance list.
fleet_vouch() {
    sleep 3
    sed "s/\"first_start_unix_ms\": 0/\"first_start_unix_ms\": $(date +%s%3N)/" "$1" >"$1.vouched"
    fleet_publish configuration "$1.vouched"
}
