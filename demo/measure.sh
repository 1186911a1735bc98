#!/usr/bin/env bash
# Runs one workload mix against a new cell: demo/measure.sh MIX [loadgen flags].
# The variables of cell.sh apply. FAULT names a function below that injects a
# fault during the load.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/cell.sh

MIX="$1"
shift

none() { :; }

# Kills an entry VM after 20 s.
kill_entry() {
    sleep 20
    kill -KILL "${ENTRY_PID[2]}"
}

# Reboots a worker after 20 s, which ends its tasks.
kill_worker() {
    sleep 20
    "$BIN/standin" ctl --stage "http://127.0.0.1:$BASE" --worker worker-005 --action reboot
}

# Shuts an entry VM down gracefully after 20 s.
stop_entry() {
    sleep 20
    kill -TERM "${ENTRY_PID[3]}"
}

# Starts one more entry VM after 20 s and stops it 20 s later.
add_entry() {
    sleep 20
    start_entry 7 entry-7
    sleep 20
    # The process was started in this subshell, so stop_cell doesn't know it.
    kill -TERM "${ENTRY_PID[7]}"
    wait "${ENTRY_PID[7]}" || true
}

# Lists a worker as leaving after 20 s.
leave_worker() {
    sleep 20
    "$BIN/standin" ctl --stage "http://127.0.0.1:$BASE" --leaving worker-010
}

# Makes the log unavailable from 20 s to 35 s.
log_down() {
    sleep 20
    "$BIN/standin" ctl --stage "http://127.0.0.1:$BASE" --log down
    sleep 15
    "$BIN/standin" ctl --stage "http://127.0.0.1:$BASE" --log up
}

# Suspends a worker from 20 s to 30 s. Its connections stay open but unresponsive.
freeze_worker() {
    sleep 20
    "$BIN/standin" ctl --stage "http://127.0.0.1:$BASE" --worker worker-005 --action pause
    sleep 10
    "$BIN/standin" ctl --stage "http://127.0.0.1:$BASE" --worker worker-005 --action resume
}

start_cell
publish_mix "$MIX" >/dev/null
sleep 4
"${FAULT:-none}" &
FAULT_PID=$!
STATUS=0
"$BIN/loadgen" --stage "http://127.0.0.1:$BASE" --mix "$MIX" --entries $(entry_urls $(seq 1 $((ENTRIES + 1)))) "$@" || STATUS=$?
wait "$FAULT_PID" 2>/dev/null || true
exit $STATUS
