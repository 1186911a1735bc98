#!/usr/bin/env bash
# Measures the overhead of an idle cell at several sizes: CPU time and memory of
# one entry VM, and bytes per second on the loopback interface for all traffic of
# the cell.
set -euo pipefail
cd "$(dirname "$0")/.."

IDLE_SECONDS=15

# measure_idle ENTRIES WORKERS
measure_idle() (
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
    sleep $IDLE_SECONDS
    cpu1=$(awk '{print $14 + $15}' "/proc/$pid/stat")
    after=$(awk '/^ *lo:/ {print $2}' /proc/net/dev | head -1)
    awk -v e="$1" -v w="$2" -v b="$((after - before))" -v c="$((cpu1 - cpu0))" -v s=$IDLE_SECONDS \
        -v m="$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")" \
        'BEGIN {printf "entries %d workers %d: entry VM %.2f %% of a core, %.1f MB; cell %.1f KB/s\n", e, w, c / s, m / 1024, b / s / 1024}'
)

measure_idle 3 12
measure_idle 6 12
measure_idle 6 50
measure_idle 6 100
measure_idle 6 200
