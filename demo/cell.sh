#!/usr/bin/env bash
# Functions that start and stop a complete cell on the loopback interface: one
# process that simulates the platform, and a number of entry VMs. Sourced by the
# other scripts in this directory.
#
# Ports on 127.0.0.1 are offsets from BASE, which reserve_ports chooses:
# the log and the VM list at BASE, entry VM N at BASE+10+N for callers and at
# BASE+40+N for peers, and workers from BASE+100.

BIN="${BIN:-bin}"
WORKERS="${WORKERS:-50}"
DATA_CENTRES="${DATA_CENTRES:-3}"
ENTRIES="${ENTRIES:-6}"
OPERATOR_KEY="${OPERATOR_KEY:-demo-operator-key}"
RUN_DIR="$(mktemp -d)"
declare -A ENTRY_PID=()
STANDIN_PID=""

# reserve_ports sets BASE to the first of a range of 400 ports. It checks only
# that nothing listens on the first port of each use. A directory per BASE serves
# as a lock against other cells of these scripts.
reserve_ports() {
    local try port
    for try in $(seq 1 40); do
        BASE=$((20000 + (RANDOM % 30) * 400))
        mkdir "${TMPDIR:-/tmp}/pollendock-ports-$BASE" 2>/dev/null || continue
        for port in "$BASE" $((BASE + 11)) $((BASE + 41)) $((BASE + 100)); do
            if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
                rmdir "${TMPDIR:-/tmp}/pollendock-ports-$BASE"
                continue 2
            fi
        done
        return 0
    done
    echo "no free range of ports found" >&2
    return 1
}

reserve_ports

hash_key() {
    printf %s "$1" | sha256sum | cut -d' ' -f1
}

start_standin() {
    "$BIN/standin" --listen "127.0.0.1:$BASE" --first-worker "127.0.0.1:$((BASE + 100))" --workers "$WORKERS" --data-centres "$DATA_CENTRES" "$@" 2>"$RUN_DIR/standin.log" &
    STANDIN_PID=$!
}

# start_entry NUMBER NAME
start_entry() {
    local n=$1 name=$2 peers="" i
    for i in $(seq 1 "$ENTRIES"); do
        peers+="\"127.0.0.1:$((BASE + 40 + i))\", "
    done
    cat >"$RUN_DIR/entry-$n.toml" <<TOML
entryId = "$name"
dataCentre = "dc-$(((n - 1) % DATA_CENTRES))"
listen = "127.0.0.1:$((BASE + 10 + n))"
peerListen = "127.0.0.1:$((BASE + 40 + n))"
peers = [${peers%, }]
bootstrapHash = "$(hash_key "$OPERATOR_KEY")"

[platform]
log = "127.0.0.1:$BASE"
vmList = "127.0.0.1:$BASE"

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
        printf 'http://127.0.0.1:%d ' $((BASE + 10 + n))
    done
}

# publish_mix MIX: publishes the teams of a mix as configuration version 1 and
# waits until it is in force. Retries while the cell is not ready.
publish_mix() {
    "$BIN/loadgen" --mix "$1" --print-config "$OPERATOR_KEY" >"$RUN_DIR/first.json"
    local try
    for try in $(seq 1 50); do
        if POLLENDOCK_KEY="$OPERATOR_KEY" "$BIN/pollendock" --server http://127.0.0.1:$((BASE + 11)) \
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
    rmdir "${TMPDIR:-/tmp}/pollendock-ports-$BASE" 2>/dev/null || true
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
