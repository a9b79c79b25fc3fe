#!/usr/bin/env bash
# Builds the program that plays the scripted cases of this review, with the
# project's own stand-ins, into target/. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target chivedale_cell_testing -j8
mkdir -p target/review-3
for source in review/11/harness/*.cc; do
  g++ -std=c++17 -O2 -Wall -Wextra -DBOOST_ERROR_CODE_HEADER_ONLY -I. \
    -c "$source" -o "target/review-3/$(basename "$source" .cc).o" &
done
wait
g++ target/review-3/*.o target/libchivedale_cell_testing.a \
  target/libchivedale_cell.a target/libchivedale_net.a \
  -llog4cxx -lxxhash -lcrypto -lpthread -o target/review-3/cases
