#!/usr/bin/env bash
# Builds the stand-ins and the cases 6 to 10, after the build of the deploy file,
# into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/6/harness -B target/review-2 -DCMAKE_BUILD_TYPE=Release \
  -DTARGET="$PWD/target"
cmake --build target/review-2 -j4
