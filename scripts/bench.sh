#!/usr/bin/env bash
# Usage: scripts/bench.sh NAME. Runs one measurement of docs/measurements.md and
# prints a table (median, minimum and maximum over the runs) and JSON lines.
# RUNS (default 3) is the number of runs per variant, SEED (default 1) the seed
# of the first run, CELL_BASE the first port, BUILD the build directory, EDITS
# (default 300) the number of edits of `table`, SETTINGS additional settings for
# `path` as JSON text. The baseline and the variant under test run alternately
# in the same call.
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
# workers have moved to owners in their region (rebalance_after is 10 s): until
# then, owners in other regions may leave the entries of the region without
# capacity.
bench_start() {  # workers, GPU workers, table, additional settings as JSON text
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

# Prints the median, minimum and maximum per label, kind and field.
bench_table() {  # fields
  printf '%-22s %-22s %-20s %12s %12s %12s\n' variant kind field median min max
  jq -rs --args '. as $all | $ARGS.positional[] as $f | $all |
    group_by([.label, .kind])[] | (map(.[$f] // empty) | sort) as $v |
    select($v | length > 0) | [.[0].label, .[0].kind, $f,
      $v[($v | length - 1) / 2 | floor], $v[0], $v[-1]] | @tsv' "$@" <"$lines" |
    awk -F '\t' '{ printf "%-22s %-22s %-20s %12.3f %12.3f %12.3f\n",
      $1, $2, $3, $4, $5, $6 }'
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

# Added latency. With fewer workers than daemons, most requests pass through two
# daemons. In the baseline cell each entry has its own workers, so the
# difference is the cost of the second daemon.
measure_path() {
  local run workers
  for run in $(seq "$runs"); do
    seed=$((first_seed + run - 1))
    for workers in 4 28; do
      bench_start "$workers" 0 examples/bench/path_table.json "${SETTINGS:-}"
      bench_load "workers_$workers" examples/bench/path.json \
        examples/bench/path_table.json
      echo "run $run, $workers workers:" \
        "attempts $(bench_counter_sum chivedale_attempts_total)," \
        "to another owner $(bench_counter_sum chivedale_dispatches_remote_total)," \
        "refused $(bench_counter_sum chivedale_dispatches_refused_total)"
      cell_stop
    done
  done
  bench_table wait_p50_ms wait_p99_ms wait_max_ms
}

# Sends the same load to cells that differ only in their settings.
bench_compare() {  # workers, GPU workers, table, profile, LABEL=SETTINGS...
  local workers=$1 gpu=$2 table=$3 profile=$4 run variant
  shift 4
  for run in $(seq "$runs"); do
    seed=$((first_seed + run - 1))
    for variant in "$@"; do
      bench_start "$workers" "$gpu" "$table" "${variant#*=}"
      bench_load "${variant%%=*}" "$profile" "$table"
      cell_stop
    done
  done
}

fifo=', "queue_policy": "fifo", "routing": "round_robin", "placement": "round_robin"'

# Load rises tenfold within 2 s, beyond the capacity of 12 and 5 workers, and
# stays there for 8 s.
measure_crest() {
  bench_compare 12 5 examples/table.json examples/bench/crest.json \
    ours= "fifo=$fifo"
  bench_table crest_wait_p99_ms crest_service_level after_wait_p99_ms
}

# Waits of short work among long work, with and without stragglers.
measure_stragglers() {
  local with
  for with in without with; do
    bench_compare 12 0 examples/table.json \
      "examples/bench/stragglers_$with.json" "ours_$with=" "fifo_$with=$fifo"
  done
  bench_table wait_p50_ms wait_p99_ms
}

# Answered repeatable requests with the store down and up, in one cell. With
# open-loop load, latency shows slowdowns that the throughput ratio does not.
measure_store_down() {
  local run
  for run in $(seq "$runs"); do
    seed=$((first_seed + 10 * run))
    bench_start 12 5 examples/table.json
    bench_load store_up examples/bench/repeatable.json examples/table.json
    curl -s -o "$dir/fault.out" -d '{"store": {"down": true}}' \
      "http://$cell_control/fault"
    sleep 1
    seed=$((seed + 1))
    bench_load store_down examples/bench/repeatable.json examples/table.json
    cell_stop
  done
  bench_table ok wait_p50_ms wait_p99_ms
}

# The longest time between two starts on the workers of the stopped owner and,
# as the baseline, on the workers of all others.
measure_failover() {
  local run signal ended owned
  for run in $(seq "$runs"); do
    for signal in KILL TERM; do
      seed=$((first_seed + run - 1))
      bench_start 12 5 examples/table.json ', "placement": "spread"'
      ended=1
      owned=$(curl -s "http://$(cell_caller "$ended")/v1/workers" |
        jq -c '[.workers[] | select(.lease == "owned") | .id]')
      (sleep 5; kill "-$signal" "${daemon_pid[ended]}") &
      cell_pids+=("$!")
      bench_load "$signal" examples/bench/repeatable.json examples/table.json
      curl -s "http://$cell_control/book?all=1" >"$dir/book.json"
      cell_stop
      jq -c --argjson owned "$owned" --arg signal "$signal" '
        [.runs[][] | {worker, start_ms}] | group_by(.worker) |
        map((map(.start_ms) | sort) as $s | {worker: .[0].worker,
          gap: ([range(1; $s | length) | $s[.] - $s[. - 1]] | max // 0)}) |
        {label: $signal, workers: ($owned | length),
         ended_owner_gap_ms: ([.[] | select(.worker as $w | $owned | index($w))
           | .gap] | max),
         others_gap_ms: ([.[] | select(.worker as $w | $owned | index($w) | not)
           | .gap] | max)} | .kind = "gap"' "$dir/book.json" >>"$lines"
    done
  done
  bench_table ended_owner_gap_ms others_gap_ms
}

# Processor time, memory and traffic of daemons, idle and under load. Bytes are
# those sent to peers, divided by the 6 links of each daemon.
measure_control() {
  local n load ticks before bytes reads seconds=10
  ticks=$(getconf CLK_TCK)
  seed=$first_seed
  bench_start 35 13 examples/table.json
  for load in idle busy; do
    if [ "$load" = busy ]; then
      bench_load busy examples/bench/repeatable.json examples/table.json &
      sleep 2 && seconds=6
    fi
    for n in 1 2 3 4 5 6 7; do
      before[n]=$(awk '{print $14 + $15}' "/proc/${daemon_pid[n]}/stat")
      bytes[n]=$(bench_counter "$n" chivedale_peer_bytes_sent_total)
      reads[n]=$(($(bench_counter "$n" chivedale_store_reads_total) + \
        $(bench_counter "$n" chivedale_store_writes_total)))
    done
    sleep "$seconds"
    for n in 1 2 3 4 5 6 7; do
      awk -v load="$load" -v n="$n" -v hz="$ticks" -v s="$seconds" \
        -v before="${before[n]}" \
        -v after="$(awk '{print $14 + $15}' "/proc/${daemon_pid[n]}/stat")" \
        -v rss="$(awk '/^VmRSS/ {print $2}' "/proc/${daemon_pid[n]}/status")" \
        -v bytes="$(($(bench_counter "$n" chivedale_peer_bytes_sent_total) - bytes[n]))" \
        -v calls="$(($(bench_counter "$n" chivedale_store_reads_total) + \
          $(bench_counter "$n" chivedale_store_writes_total) - reads[n]))" '
        BEGIN {
          printf "{\"label\":\"%s\",\"kind\":\"daemon\",\"core_percent\":%.2f,",
            load, 100 * (after - before) / hz / s
          printf "\"resident_mb\":%.1f,\"link_bytes_per_s\":%.0f,", rss / 1024,
            bytes / s / 6
          printf "\"store_calls_per_s\":%.2f,\"daemon\":%d}\n", calls / s, n
        }' >>"$lines"
    done
  done
  wait "$!" || true
  cell_stop
  bench_table core_percent resident_mb link_bytes_per_s store_calls_per_s
}

# Time from the command that changes the table until polling shows the new
# revision on every daemon.
measure_table() {
  local edit begin end n revision edits=${EDITS:-300}
  bench_start 3 0 examples/table.json
  for edit in $(seq "$edits"); do
    n=$((1 + edit % 7))
    begin=$(date +%s%N)
    "$build/chivedalectl" --server "$(cell_caller "$n")" table edit \
      "sort-response.weight=$((5 + edit % 7))" >"$dir/apply.out"
    revision=$((edit + 1))
    for n in 1 2 3 4 5 6 7; do
      until [ "$(bench_counter "$n" chivedale_table_revision)" -ge "$revision" ]
      do :; done
    done
    end=$(date +%s%N)
    echo "{\"in_force_ms\":$(((end - begin) / 1000000)),\"kind\":\"edit\",\"label\":\"table\"}" >>"$lines"
  done
  cell_stop
  jq -s '[.[].in_force_ms] | sort | {edits: length, p50: .[length / 2 | floor],
    p99: .[length * 99 / 100 | floor], worst: .[-1]}' "$lines"
}

name=${1:-}
case "$name" in
  path | crest | stragglers | failover | control | table) "measure_$name" ;;
  store-down) measure_store_down ;;
  *)
    echo "usage: scripts/bench.sh" \
      "path|crest|stragglers|failover|store-down|control|table" >&2
    exit 2
    ;;
esac
