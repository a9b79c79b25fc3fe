#!/usr/bin/env bash
# Installs packages, builds, starts a cell of 7 daemons and 48 workers on
# loopback, sends several thousand requests, kills one daemon meanwhile and
# compares the results of callers with the runs of workers. Exits with 0 only if
# no request was lost, run twice or mixed up. SEED (default 1) is the seed of
# the load plan; NO_KILL=1 skips the kill.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh build
build=${BUILD:-$PWD/build}
dir=$(mktemp -d)
daemon_pid=()
seed=${SEED:-1}
. scripts/cell.sh
trap 'cell_stop; rm -rf "$dir"' EXIT

echo "starting the stand-ins (48 workers) and 7 daemons"
cell_start_standin 35 13
for n in 1 2 3 4 5 6 7; do cell_start_daemon "$n"; done
cell_wait_for "$(cell_caller 1)" /healthz
"$build/chivedalectl" --server "$(cell_caller 1)" table apply examples/table.json
cell_wait_ready 7
sleep 3
"$build/chivedalectl" --server "$(cell_caller 1)" status

echo "sending requests; daemon 3 is killed after 8 seconds"
"$build/chivedale_load" --entries "$(cell_entries 7)" \
  --profile examples/load_demo.json --table examples/table.json \
  --book "$cell_control" --seed "$seed" --label demo &
load_pid=$!
cell_pids+=("$load_pid")
if [ -z "${NO_KILL:-}" ]; then
  sleep 8
  kill -KILL "${daemon_pid[3]}"
  # Reaps the process, so that the shell does not print a message about it.
  wait "${daemon_pid[3]}" 2>/dev/null || true
fi
code=0
wait "$load_pid" || code=$?
exit "$code"
