#!/usr/bin/env bash
# A schedule whose stored progress outgrows a value of the store.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build first: review/build.sh
set -uo pipefail
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.." || exit 2
[ -x target/chivedale_celld ] && [ -x target/review_rig ] || exit 2
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
export TROUBLE="${TROUBLE:-1}"
timeout -k 1 115 target/review_rig long_schedule target/chivedale_celld \
  "$case_dir/record.txt" "$directory"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
