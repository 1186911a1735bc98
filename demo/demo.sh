#!/usr/bin/env bash
# Runs a cell of 6 entry VMs in 3 data centres and 50 workers under the rehearsal
# mix, the work of both customers, for about 30 s. Meanwhile, one entry VM is
# killed, one is replaced, and one worker leaves. Exits with 0 only if no
# guarantee was violated and the replaced entry VM shut down gracefully.
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
echo "replacing entry-3 with a new VM"
start_entry 7 entry-7
kill -TERM "${ENTRY_PID[3]}"

sleep $((LENGTH / 5))
echo "listing worker-010 as leaving"
"$BIN/standin" ctl --stage "http://127.0.0.1:$BASE" --leaving worker-010

STATUS=0
wait "$LOAD_PID" || STATUS=$?
if ! wait "${ENTRY_PID[3]}"; then
    echo "entry-3 did not shut down gracefully"
    STATUS=1
fi
unset "ENTRY_PID[3]"
exit $STATUS
