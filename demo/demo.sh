#!/usr/bin/env bash
# The rehearsal day: 6 entry VMs in 3 data centres, 50 workers, about 30 s of
# mixed work of both users, with one entry VM killed, one replaced and one
# worker leaving on the way. Exits 0 only if every promise held.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/cell.sh

LENGTH="${LENGTH:-30}"
SEED="${SEED:-1}"
echo "seed $SEED"
start_cell
publish_mix rehearsal

"$BIN/loadgen" --stage "http://127.0.0.1:$BASE" --mix rehearsal --length "${LENGTH}s" --grace 40s --seed "$SEED" \
    --entries $(entry_urls 1 2 3 4 5 6 7) &
LOAD_PID=$!

sleep $((LENGTH / 5))
echo "killing entry-2"
kill -KILL "${ENTRY_PID[2]}"
wait "${ENTRY_PID[2]}" 2>/dev/null || true
unset "ENTRY_PID[2]"

sleep $((LENGTH / 5))
echo "replacing entry-3 by a new VM"
start_entry 7 entry-7
kill -TERM "${ENTRY_PID[3]}"

sleep $((LENGTH / 5))
echo "worker-010 is leaving"
"$BIN/standin" ctl --stage "http://127.0.0.1:$BASE" --leaving worker-010

STATUS=0
wait "$LOAD_PID" || STATUS=$?
if ! wait "${ENTRY_PID[3]}"; then
    echo "entry-3 did not stop gracefully"
    STATUS=1
fi
unset "ENTRY_PID[3]"
exit $STATUS
