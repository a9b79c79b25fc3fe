#!/usr/bin/env bash
# Pauses two of five daemons for 11 s, three times, while a service of 30 tasks
# runs. Exits with 0 only if no task ran in two places and 30 run at the end.
# Takes about 75 s; needs jq.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$PWD/build
dir=$(mktemp -d)
daemon_pid=()
. scripts/cell.sh
trap 'cell_stop; rm -rf "$dir"' EXIT
ctl() { "$build/chivedalectl" --server "$(cell_entries 5)" --timeout 6000 "$@"; }
running() {
  curl -sf "http://$cell_control/book?all=1" | jq '[.runs // {} | to_entries[]
    | select(.key | startswith("j/s/")) | .value[]
    | select(has("end_ms") | not)] | length'
}
cell_start_standin 16 8
for n in 1 2 3 4 5; do cell_start_daemon "$n"; done
cell_wait_for "$(cell_caller 1)" /healthz
ctl table apply examples/table.json >"$dir/apply.out"
cell_wait_ready 5
sleep 2
ctl job submit s sensor-watch --tasks 30 --payload '{"run_ms":600000}' >"$dir/submit.out"
sleep 6
for round in 1 2 3; do
  first=$((round % 5 + 1)) second=$(((round + 1) % 5 + 1))
  kill -STOP "${daemon_pid[first]}" "${daemon_pid[second]}"
  sleep 11
  kill -CONT "${daemon_pid[first]}" "${daemon_pid[second]}"
  sleep 4
  echo "round $round: daemons $first and $second were paused, $(running) tasks run"
done
sleep 15
violations=$(curl -sf "http://$cell_control/violations")
echo "end: $(running) tasks run, $violations"
[ "$(running)" -eq 30 ] && [ "$(jq .total <<<"$violations")" -eq 0 ]
