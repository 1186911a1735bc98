#!/usr/bin/env bash
# Functions that start and stop a whole cell on loopback: one stand-in for the
# platform and a number of entry VMs. Sourced by the scripts beside it.
#
# Addresses: log and list 127.0.0.1:7100, workers from 127.0.0.1:7200 on, entry
# VM N at 127.0.0.1:8000+N for callers and 127.0.0.1:8100+N for peers.

BIN="${BIN:-bin}"
WORKERS="${WORKERS:-50}"
DATA_CENTRES="${DATA_CENTRES:-3}"
ENTRIES="${ENTRIES:-6}"
OPERATOR_KEY="${OPERATOR_KEY:-demo-operator-key}"
RUN_DIR="$(mktemp -d)"
declare -A ENTRY_PID=()
STANDIN_PID=""

hash_key() {
    printf %s "$1" | sha256sum | cut -d' ' -f1
}

start_standin() {
    "$BIN/standin" --workers "$WORKERS" --data-centres "$DATA_CENTRES" "$@" 2>"$RUN_DIR/standin.log" &
    STANDIN_PID=$!
}

# start_entry NUMBER NAME
start_entry() {
    local n=$1 name=$2 peers="" i
    for i in $(seq 1 "$ENTRIES"); do
        peers+="\"127.0.0.1:$((8100 + i))\", "
    done
    cat >"$RUN_DIR/entry-$n.toml" <<TOML
entryId = "$name"
dataCentre = "dc-$(((n - 1) % DATA_CENTRES))"
listen = "127.0.0.1:$((8000 + n))"
peerListen = "127.0.0.1:$((8100 + n))"
peers = [${peers%, }]
bootstrapHash = "$(hash_key "$OPERATOR_KEY")"

[platform]
log = "127.0.0.1:7100"
vmList = "127.0.0.1:7100"

[telemetry]
logLevel = "${LOG_LEVEL:-info}"
traceFile = "$RUN_DIR/entry-$n.trace.json"
traceRatio = ${TRACE_RATIO:-0.01}
TOML
    "$BIN/pollendockd" --config "$RUN_DIR/entry-$n.toml" 2>>"$RUN_DIR/entry-$n.log" &
    ENTRY_PID[$n]=$!
}

entry_urls() {
    local n
    for n in "$@"; do
        printf 'http://127.0.0.1:%d ' $((8000 + n))
    done
}

# publish_mix MIX: publishes the teams of a mix as version 1 and waits until the
# version is in force.
publish_mix() {
    "$BIN/loadgen" --mix "$1" --print-config "$OPERATOR_KEY" >"$RUN_DIR/first.json"
    local try
    for try in $(seq 1 50); do
        if POLLENDOCK_KEY="$OPERATOR_KEY" "$BIN/pollendock" --server http://127.0.0.1:8001 \
            config patch --base 0 --author demo --reason "first configuration" "$RUN_DIR/first.json" \
            2>"$RUN_DIR/publish.err"; then
            return 0
        fi
        sleep 0.2
    done
    cat "$RUN_DIR/publish.err"
    return 1
}

stop_cell() {
    trap - EXIT INT TERM
    local pid
    for pid in "${ENTRY_PID[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${ENTRY_PID[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    if [ -n "$STANDIN_PID" ]; then
        kill -TERM "$STANDIN_PID" 2>/dev/null || true
        wait "$STANDIN_PID" 2>/dev/null || true
    fi
    if [ -n "${KEEP_RUN_DIR:-}" ]; then
        echo "logs are in $RUN_DIR"
    else
        rm -rf "$RUN_DIR"
    fi
}

start_cell() {
    trap 'stop_cell; exit 130' INT TERM
    trap stop_cell EXIT
    start_standin "$@"
    local n
    for n in $(seq 1 "$ENTRIES"); do
        start_entry "$n" "entry-$n"
    done
}
