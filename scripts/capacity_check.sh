#!/usr/bin/env bash
# Usage: scripts/capacity_check.sh [WORKERS [SECONDS]]. Starts 7 daemons and
# small stand-in workers on loopback and prints the resources that each daemon
# uses, first idle, then at 300 requests/s: processor time by thread and
# resident memory from /proc and, when idle, the bytes on its open connections.
# Compare with the lines of capacity.sh. CELL_BASE + 300 should be below the
# ephemeral ports (32768).
set -euo pipefail
cd "$(dirname "$0")/.."
workers=${1:-300}
seconds=${2:-15}
build=$PWD/${BUILD:-build}
dir=$(mktemp -d)
daemon_pid=()
. scripts/cell.sh
trap 'cell_stop; rm -rf "$dir"' EXIT
daemons="1 2 3 4 5 6 7"
ticks=$(getconf CLK_TCK)

# Prints lines "daemon thread ticks" with user plus system time.
thread_ticks() {
  local n task
  for n in $daemons; do
    for task in "/proc/${daemon_pid[n]}/task"/*; do
      # Fields 14 and 15 of stat; sed removes the first field.
      sed -E 's/^[0-9]+ \((.*)\) /\1 /' "$task/stat" |
        awk -v n="$n" -v t="${task##*/}" '{print n, t "/" $1, $13 + $14}'
    done
  done
}

# Prints lines "daemon sent received" with the bytes on its open connections.
connection_bytes() {
  local n
  for n in $daemons; do
    ss -tinpH 2>/dev/null | awk -v n="$n" -v pid="pid=${daemon_pid[n]}," '
      /^[^[:space:]]/ { mine = index($0, pid) > 0 }
      mine && /bytes_acked/ {
        if (match($0, /bytes_acked:[0-9]+/))
          sent += substr($0, RSTART + 12, RLENGTH - 12)
        if (match($0, /bytes_received:[0-9]+/))
          got += substr($0, RSTART + 15, RLENGTH - 15)
      }
      END { print n, sent + 0, got + 0 }'
  done
}

measure() {  # label
  thread_ticks >"$dir/before"
  connection_bytes >"$dir/bytes_before"
  sleep "$seconds"
  thread_ticks >"$dir/after"
  connection_bytes >"$dir/bytes_after"
  echo "$1: per daemon, processor ms/s of the process and of its threads"
  awk -v s="$seconds" -v hz="$ticks" '
    NR == FNR { before[$1 " " $2] = $3; next }
    { used = ($3 - before[$1 " " $2]) * 1000 / hz / s
      all[$1] += used
      if (used >= 0.1) list[$1] = list[$1] sprintf(" %s=%.1f", $2, used) }
    END { for (n in all) printf "  daemon %s: %.1f;%s\n", n, all[n], list[n] }
  ' "$dir/before" "$dir/after" | sort
  # Under load, connections of callers close and their byte counts are lost.
  [ "$1" = "${1#idle}" ] || join "$dir/bytes_before" "$dir/bytes_after" | awk -v s="$seconds" '
    { printf "  daemon %s: sent %.0f, received %.0f bytes/s\n", $1,
      ($4 - $2) / s, ($5 - $3) / s }'
  for n in $daemons; do
    awk -v n="$n" '/VmRSS/ {printf "  daemon %s: resident %.1f MB\n", n,
      $2 / 1000}' "/proc/${daemon_pid[n]}/status"
  done
}

cell_start_standin "$workers" 0
for n in $daemons; do cell_start_daemon "$n"; done
kill -0 "$standin_pid" || { cat "$dir/standin.log" >&2; exit 1; }
cell_wait_for "$(cell_caller 1)" /healthz
"$build/chivedalectl" --server "$(cell_caller 1)" table apply \
  examples/table.json
cell_wait_ready 7 || { tail -n 20 "$dir"/daemon-*.out "$dir"/daemon-*.log >&2; exit 1; }
# From 10 s on, workers are distributed over the daemons at 50 per second.
sleep 25
for n in $daemons; do
  curl -s --max-time 2 "http://$(cell_caller "$n")/v1/status" |
    grep -o '"owned_workers":[0-9]*' | sed "s/^/daemon $n: /"
done
measure "idle, $workers workers"
sed "s/\"duration_ms\": [0-9]*/\"duration_ms\": $(((seconds + 4) * 1000))/" \
  examples/load_demo.json >"$dir/load.json"
"$build/chivedale_load" --entries "$(cell_entries 7)" \
  --profile "$dir/load.json" --table examples/table.json \
  --book "$cell_control" --label check >"$dir/load.out" 2>&1 &
load_pid=$!
cell_pids+=("$load_pid")
sleep 2
measure "300 requests/s, $workers workers"
wait "$load_pid" && echo "load: no request lost, run twice or mixed up" ||
  { echo "load failed:"; tail -5 "$dir/load.out"; }
