#!/usr/bin/env bash
# Usage: scripts/capacity.sh [OUT [RUNS]]. Measures the cost of each role at
# several sizes and prints medians and fitted lines; the JSON lines are written
# to OUT (default capacity.jsonl). Each point runs in its own process, so
# that memory figures cover that point only; four run at a time. Takes about two
# minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-capacity.jsonl}
runs=${2:-3}
build=${BUILD:-build}

points() {
  local role=$1 seconds=$2 size run
  shift 2
  for size in "$@"; do
    for run in $(seq "$runs"); do echo "$role $size $seconds $run"; done
  done
}

{
  points owner_idle 5 50 500 2000
  points owner_idle 2 21000
  points vm_list 5 300 600 2000 21000
  points owner_tasks 5 1000 4000 16000
  points owner_tasks 2 160000
  points owner_starts 5 100 500 1500 5600
  points entry_rate 5 100 800 2000 5600
  points entry_open 5 1000 4000 23000
  points directory_rate 10 100 800 2000 5600
  points directory_ids 1 100000 500000 1000000 2000000
  points record_rate 10 100 800 2000 5600
  points members 10 7 30 100 300
  points demand 10 0 100 460
  points table_whole 5 100 250 500
  points table_delta 5 100 250 500
  points summaries 1 7 42 102 300
  points job_rate 30 1.4 5 14
  points services 10 250 1000 4000
} | xargs -P 4 -L 1 "$build/capacity_bench" >"$out"
"$build/capacity_bench" fit <"$out"
