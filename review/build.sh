#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/, after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
g++ -std=c++17 -O1 -I. -DBOOST_ERROR_CODE_HEADER_ONLY -o target/review_rig \
  review/main.cc review/rig.cc review/scenarios.cc \
  platform/testing/daemon_process.cc \
  target/libchivedale_cell.a target/libchivedale_net.a \
  -llog4cxx -lxxhash -lpthread
