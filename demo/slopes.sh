#!/usr/bin/env bash
# Measures what a cell costs at rest at several sizes: processor time and memory
# of an entry VM, and bytes a second on the loopback interface, all traffic of
# the cell together.
set -euo pipefail
cd "$(dirname "$0")/.."

SECONDS_AT_REST=15

# rest ENTRIES WORKERS
rest() (
    ENTRIES=$1
    WORKERS=$2
    TRACE_RATIO=0
    . demo/cell.sh
    start_cell
    publish_mix rehearsal >/dev/null
    sleep 8
    local pid=${ENTRY_PID[1]} before after cpu0 cpu1
    before=$(awk '/ lo:/ {print $2} /^ *lo:/ {print $2}' /proc/net/dev | head -1)
    cpu0=$(awk '{print $14 + $15}' "/proc/$pid/stat")
    sleep $SECONDS_AT_REST
    cpu1=$(awk '{print $14 + $15}' "/proc/$pid/stat")
    after=$(awk '/^ *lo:/ {print $2}' /proc/net/dev | head -1)
    awk -v e="$1" -v w="$2" -v b="$((after - before))" -v c="$((cpu1 - cpu0))" -v s=$SECONDS_AT_REST \
        -v m="$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")" \
        'BEGIN {printf "entries %d workers %d: entry VM %.2f %% of a core, %.1f MB; cell %.1f KB/s\n", e, w, c / s, m / 1024, b / s / 1024}'
)

rest 3 12
rest 6 12
rest 6 50
rest 6 100
rest 6 200
