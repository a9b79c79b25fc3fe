#!/usr/bin/env bash
# Usage: scripts/fault_soak.sh [RUNS [SECONDS [PARALLEL]]] (default 50 runs
# of 12 s, 5 in parallel). Runs daemon processes under faults, first with the
# seeds of platform/testing/soak_seeds.txt, then with random ones; prints one
# line per run. Exits with non-zero if a guarantee was violated; the line of
# such a run names the directory of its logs, which are kept.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-50} seconds=${2:-12} parallel=${3:-5}
[ -x build/cell_soak ] && [ -x build/chivedale_celld ] || scripts/build.sh build
{
  sed -n 's/^\([0-9][0-9]*\) .*/\1/p' platform/testing/soak_seeds.txt
  for _ in $(seq "$runs"); do echo $((RANDOM * 32768 + RANDOM)); done
} | xargs -P "$parallel" -I{} build/cell_soak --daemon build/chivedale_celld \
  --seed {} --seconds "$seconds"
