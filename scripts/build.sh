#!/usr/bin/env bash
# Usage: scripts/build.sh [DIR [SANITIZERS]]. Configures and builds in DIR
# (default build).
set -euo pipefail
cd "$(dirname "$0")/.."
dir=${1:-build}
sanitize=${2:-}
type=Release
[ -z "$sanitize" ] || type=Sanitize
cmake -S . -B "$dir" -G Ninja -DCMAKE_BUILD_TYPE="$type" \
  -DCHIVEDALE_SANITIZE="$sanitize" >"$dir.cmake.log" 2>&1 ||
  { cat "$dir.cmake.log"; exit 1; }
rm -f "$dir.cmake.log"
ninja -C "$dir" --quiet
