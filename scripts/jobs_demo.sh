#!/usr/bin/env bash
# Runs a batch job, gangs and a service on a cell of six daemons on loopback,
# while managers, an owner, a worker and the store fail or pause. Exits with 0
# only if the run records of the workers are correct for each task. Takes 60 to
# 75 s; needs jq. NO_BUILD=1 skips the build; KEEP_DIR=DIR keeps the logs and
# run records of a failed run in DIR.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -n "${NO_BUILD:-}" ] || scripts/build.sh build
build=$PWD/build
dir=$(mktemp -d)
daemon_pid=()
seed=${SEED:-1}
. scripts/cell.sh
trap 'cell_stop; rm -rf "$dir"' EXIT
daemons=6

ctl() {
  "$build/chivedalectl" --server "$(cell_entries "$daemons")" --timeout 6000 "$@"
}
fault() { curl -sf -o "$dir/fault.out" -d "$1" "http://$cell_control/fault"; }
book() { curl -sf "http://$cell_control/book?all=1"; }
fail() {
  echo "FAILED: $*" >&2
  ctl --json job show service >&2 || true
  echo "running according to the workers:" >&2
  running service >&2
  if [ -n "${KEEP_DIR:-}" ]; then  # logs and run records for diagnosis
    book >"$dir/book.json"
    cp -r "$dir" "$KEEP_DIR"
  fi
  exit 1
}

# Prints the running tasks of a job, one "TASK WORKER" per line.
running() {
  book | jq -r --arg job "j/$1/" '.runs // {} | to_entries[]
    | select(.key | startswith($job)) | .key as $task
    | .value[] | select(has("end_ms") | not) | "\($task) \(.worker)"'
}
count() { running "$1" | wc -l; }
phase() { ctl --json job show "$1" | jq -r .phase; }

manager_of() { ctl --json job show "$1" | jq -r .manager; }
number_of() { sed 's/^entry-\([0-9]*\).*/\1/' <<<"$1"; }
moved() {  # job, former manager
  local now
  now=$(manager_of "$1" 2>/dev/null) && [ -n "$now" ] && [ "$now" != "$2" ]
}

wait_for() {  # seconds, text, command
  local end=$((SECONDS + $1)) text=$2
  shift 2
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || fail "timed out: $text"
    sleep 0.3
  done
  echo "ok: $text"
}
has_running() { [ "$(count "$1")" -eq "$2" ]; }
has_phase() { [ "$(phase "$1" 2>/dev/null)" = "$2" ]; }

# Checks that all tasks of a succeeded gang ran at the same time: the last start
# of the final attempts is not after the first end.
gang_ran_together() {  # job, tasks
  book | jq -e --arg job "j/$1/" --argjson tasks "$2" '
    [.runs | to_entries[] | select(.key | startswith($job)) | .value[-1]]
    | length == $tasks and all(.outcome == "ok")
      and (map(.start_ms) | max) <= (map(.end_ms) | min)' >"$dir/gang.out" ||
    fail "gang $1 did not run all its tasks at once"
}
batch_done_once() {  # job, tasks; checks that each task succeeded exactly once
  book | jq -e --arg job "j/$1/" --argjson tasks "$2" '
    [.runs | to_entries[] | select(.key | startswith($job)) | .value
     | map(select(.outcome == "ok")) | length]
    | length == $tasks and all(. == 1)' >"$dir/batch.out" ||
    fail "batch job $1: some task did not succeed exactly once"
}

echo "starting the stand-ins (24 workers) and $daemons daemons"
cell_start_standin 16 8
for n in $(seq "$daemons"); do cell_start_daemon "$n"; done
cell_wait_for "$(cell_caller 1)" /healthz
jq '.rows += [.rows[] | select(.kind == "retranscribe-archive")
  | .kind = "oversized" | .cpu_milli = 900000]' \
  examples/table.json >"$dir/table.json"
ctl table apply "$dir/table.json" >"$dir/apply.out"
cell_wait_ready "$daemons"
sleep 2

echo "submitting; the GPU workers hold 32 tasks of map-erosion"
ctl job submit oversized oversized >"$dir/submit.out"
ctl job submit service sensor-watch --tasks 8 --payload '{"run_ms":600000}' >"$dir/submit.out"
ctl job submit batch retranscribe-archive --tasks 60 --payload '{"run_ms":3000}' >"$dir/submit.out"
ctl job submit whole-cell map-erosion --tasks 32 --payload '{"run_ms":500}' >"$dir/submit.out"
ctl job submit gang-a map-erosion --tasks 14 --payload '{"run_ms":2000}' >"$dir/submit.out"
ctl job submit gang-b map-erosion --tasks 14 --payload '{"run_ms":2000}' >"$dir/submit.out"
ctl job submit cancelled retranscribe-archive --tasks 4 --payload '{"run_ms":300000}' >"$dir/submit.out"
wait_for 15 "the service runs at its count" has_running service 8
spread=$(running service | cut -d' ' -f2 | sort | uniq | wc -l)
[ "$spread" -ge 6 ] || fail "the service runs on $spread workers only"

manager=$(manager_of service)
n=$(number_of "$manager")
echo "killing the service's manager, daemon $n"
kill -KILL "${daemon_pid[n]}"
sleep 1
worker=$(running service | head -1 | cut -d' ' -f2)
echo "killing worker $worker"
fault "{\"target\":\"worker\",\"id\":\"$worker\",\"dead\":true}"
wait_for 20 "another member manages the service" moved service "$manager"
sleep 6
fault "{\"target\":\"worker\",\"id\":\"$worker\",\"dead\":false,\"reboot\":true}"
wait_for 25 "the service runs at its count again" has_running service 8
other=$((n % daemons + 1))
echo "store down for 5 s; daemon $other, an owner, is killed"
fault '{"target":"store","down":true}'
kill -KILL "${daemon_pid[other]}"
sleep 5
fault '{"target":"store","down":false}'
wait_for 20 "the service keeps its count" has_running service 8
ctl job scale service 11 >"$dir/scale.out"
wait_for 15 "the service runs at 11" has_running service 11
ctl job scale service 5 >"$dir/scale.out"
wait_for 15 "the service runs at 5" has_running service 5
ctl job cancel cancelled >"$dir/cancel.out"
wait_for 15 "the cancelled job has ended" has_phase cancelled cancelled
wait_for 5 "none of its tasks runs" has_running cancelled 0
for job in batch gang-a gang-b whole-cell; do
  wait_for 40 "$job succeeded" has_phase "$job" succeeded
done
batch_done_once batch 60
gang_ran_together gang-a 14
gang_ran_together gang-b 14
gang_ran_together whole-cell 32
echo "restarting both daemons; two jobs run while their managers are paused for 11 s"
cell_start_daemon "$n"
cell_start_daemon "$other"
ctl job submit gang-c map-erosion --tasks 12 --payload '{"run_ms":9000}' >"$dir/submit.out"
ctl job submit batch-c retranscribe-archive --tasks 40 --payload '{"run_ms":4000}' >"$dir/submit.out"
wait_for 15 "all tasks of gang-c run" has_running gang-c 12
first=$(number_of "$(manager_of gang-c)")
second=$(number_of "$(manager_of batch-c)")
kill -STOP "${daemon_pid[first]}" "${daemon_pid[second]}"
sleep 11  # longer than the orphan timeout
kill -CONT "${daemon_pid[first]}" "${daemon_pid[second]}"
wait_for 40 "gang-c succeeded" has_phase gang-c succeeded
wait_for 40 "batch-c succeeded" has_phase batch-c succeeded
gang_ran_together gang-c 12
batch_done_once batch-c 40
wait_for 40 "the oversized job has ended" has_phase oversized failed
ctl --json job show oversized | jq -r '"reason: " + .reason'
wait_for 10 "the service still runs at 5" has_running service 5
violations=$(curl -sf "http://$cell_control/violations")
echo "$violations" | jq -c 'del(.details)'
[ "$(jq .total <<<"$violations")" -eq 0 ] || fail "violations: $violations"
echo "jobs demo passed in $SECONDS s"
