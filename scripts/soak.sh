#!/usr/bin/env bash
# Usage: scripts/soak.sh SECONDS [SEED]. Runs the property tests of the
# guarantees in parallel with consecutive seeds (from a random one by default)
# until the time is over; prints each seed and the number of generated event
# histories. Exits with non-zero on a failure.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:?usage: scripts/soak.sh SECONDS [SEED]}
seed=${2:-$RANDOM}
end=$((SECONDS + seconds))
histories=200
failed=$(mktemp)
trap 'rm -f "$failed"' EXIT
run_test() {
  local name=$1 number=$2
  while [ $SECONDS -lt "$end" ]; do
    local status=0
    RC_PARAMS="seed=$number max_success=$histories noshrink=1" \
      timeout $((end - SECONDS + 1)) "build/$name" >/dev/null 2>&1 || status=$?
    case $status in
      0) echo "$name seed=$number histories=$histories passed" ;;
      124) echo "$name seed=$number cut off by the time limit" ;;
      *) echo "$name seed=$number FAILED"; echo "$name" >>"$failed" ;;
    esac
    number=$((number + 1))
  done
}
for name in scheduler_history_test owner_history_test request_history_test \
  table_history_test job_manager_test; do
  run_test "$name" "$seed" &
done
wait
[ ! -s "$failed" ]
