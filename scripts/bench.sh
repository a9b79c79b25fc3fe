#!/usr/bin/env bash
# Usage: scripts/bench.sh NAME. Runs one measure of docs/measurements.md and
# prints a table (median, minimum and maximum over the runs) and JSON lines.
# RUNS (default 3) is the number of runs per variant, SEED (default 1) the seed
# of the first run, CELL_BASE the first port. The baseline runs in the same
# call, in turn with the variant under test.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-$PWD/build}
runs=${RUNS:-3}
first_seed=${SEED:-1}
dir=$(mktemp -d)
lines=$dir/lines.json
daemon_pid=()
. scripts/cell.sh
trap 'cell_stop; rm -rf "$dir"' EXIT

# Starts 7 daemons with the given settings and workers, and waits until the
# workers have moved to the owners of their region (rebalance_after is 10 s): a
# first owner from another region leaves the region's entries without room.
bench_start() {  # workers, GPU workers, table, further settings as JSON text
  local n
  cell_pids=() daemon_pid=()
  rm -f "$dir"/daemon-*
  cell_start_standin "$1" "$2"
  for n in 1 2 3 4 5 6 7; do cell_start_daemon "$n" "${4:-}"; done
  cell_wait_for "$(cell_caller 1)" /healthz
  "$build/chivedalectl" --server "$(cell_caller 1)" table apply "$3" \
    >"$dir/apply.out"
  cell_wait_ready 7
  sleep 12
}

bench_load() {  # label, profile, table, [entries]
  "$build/chivedale_load" --entries "${4:-$(cell_entries 7)}" --profile "$2" \
    --table "$3" --book "$cell_control" --seed "$seed" --label "$1" \
    --json "$lines" >"$dir/load.out" 2>&1 || { cat "$dir/load.out"; }
}

# Prints a line per label, kind and field: median, minimum and maximum.
bench_table() {  # fields
  local field
  printf '%-24s %-22s %-22s %10s %10s %10s\n' variant kind field median min max
  for field in "$@"; do
    sed -n 's/.*"'"$field"'":\([-0-9.e]*\).*/\1 &/p' "$lines" |
      sed -n 's/^\([^ ]*\) .*"kind":"\([^"]*\)".*"label":"\([^"]*\)".*/\3 \2 \1/p' |
      sort -k1,1 -k2,2 -k3,3g |
      awk -v field="$field" '
        function flush() {
          if (n) printf "%-24s %-22s %-22s %10.3f %10.3f %10.3f\n", label, kind,
            field, v[int((n + 1) / 2)], v[1], v[n]
          n = 0
        }
        $1 != label || $2 != kind { flush(); label = $1; kind = $2 }
        { v[++n] = $3 }
        END { flush() }'
  done
  cat "$lines"
}

bench_counter() {  # daemon, name of a metric
  curl -s --max-time 2 "http://$(cell_caller "$1")/metrics" |
    sed -n "s/^$2 \([0-9.e+]*\)\$/\1/p" | head -1
}

bench_counter_sum() {  # name of a metric, over all daemons
  local n total=0 value
  for n in 1 2 3 4 5 6 7; do
    value=$(bench_counter "$n" "$1")
    total=$((total + ${value%.*}))
  done
  echo "$total"
}

# Added latency: more daemons than workers, so that most requests pass through
# two daemons. The baseline sends to daemons whose own workers have room.
measure_path() {
  local run
  for run in $(seq "$runs"); do
    seed=$((first_seed + run - 1))
    bench_start 4 0 examples/bench/path_table.json
    bench_load two_daemons examples/bench/path.json \
      examples/bench/path_table.json
    echo "run $run: attempts $(bench_counter_sum chivedale_attempts_total)," \
      "to another owner $(bench_counter_sum chivedale_dispatches_remote_total)," \
      "refused $(bench_counter_sum chivedale_dispatches_refused_total)"
    cell_stop
  done
  bench_table wait_p50_ms wait_p99_ms wait_max_ms
}

name=${1:-}
case "$name" in
  path) measure_path ;;
  *) echo "usage: scripts/bench.sh path" >&2; exit 2 ;;
esac
