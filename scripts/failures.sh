#!/usr/bin/env bash
# Usage: scripts/failures.sh [SECONDS [SEED]] (default 120 s, seed 1). A live
# failure run: 7 daemons and 48 workers on loopback under mixed load, with the
# faults of build/failure_plan, which depend only on the seed. KEEP=DIR keeps
# logs and run records in DIR. Exits with 0 only if, according to the records of
# workers and callers, no request was lost, run twice, mixed up, cut off by a
# planned stop or wrongly reported as not run, no worker was overloaded, no job
# was lost, and every planned stop exited with 0. Ends at most 200 s after
# SECONDS.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-120}
seed=${2:-1}
build=${BUILD:-$PWD/build}
[ -x "$build/failure_plan" ] || scripts/build.sh build
if [ -n "${KEEP:-}" ]; then mkdir -p "$KEEP"; dir=$(cd "$KEEP" && pwd); else dir=$(mktemp -d); fi
daemon_pid=()
. scripts/cell.sh
trap 'cell_stop; [ -n "${KEEP:-}" ] || rm -rf "$dir"' EXIT

workers=35 gpu_workers=13 daemons=7
declare -A happened drain_since stop_from stop_until
paused=()
stops_right=0 stops_wrong=0 skipped=0

now_ms() { local t=${EPOCHREALTIME/[.,]/}; echo $((t / 1000)); }

fault() {
  curl -s -o "$dir/fault.out" --max-time 5 --data "$1" "http://$cell_control/fault" ||
    echo "no answer to the fault $1"
}

# Starts a daemon with a new VM id at the addresses of the former one.
replace() {
  generation[$1]=$((${generation[$1]} + 1))
  cell_start_daemon "$1"  # writes the settings file with the new VM id
}

# Prints how many daemons are killed, paused or draining.
out_count() {
  local n count=0
  for n in $(seq "$daemons"); do
    if [ -z "${daemon_pid[n]}" ] || [ -n "${paused[n]:-}" ] || [ -n "${drain_since[$n]:-}" ]; then
      count=$((count + 1))
    fi
  done
  echo "$count"
}

# Checks the exit code of daemons whose drain has ended and replaces them.
reap_drained() {
  local n code
  for n in "${!drain_since[@]}"; do
    if kill -0 "${daemon_pid[n]}" 2>/dev/null; then continue; fi
    code=0
    wait "${daemon_pid[n]}" || code=$?
    stop_until[$n]+=" $(now_ms)"
    if [ "$code" = 0 ]; then stops_right=$((stops_right + 1)); else stops_wrong=$((stops_wrong + 1)); fi
    echo "$(at) daemon $n ended with $code after $(($(now_ms) - drain_since[$n])) ms of draining"
    unset "drain_since[$n]"
    replace "$n"
  done
}

at() { printf '%6d ms' $(($(now_ms) - begin)); }

step() {  # begin|end, kind, verb, argument
  local n=$4
  echo "$(at) $1 $2 $3 $4" | cut -c1-110
  case $3 in
    kill | pause | term)
      if [ -z "${daemon_pid[n]}" ] || [ -n "${drain_since[$n]:-}" ] || [ "$(out_count)" -ge 3 ]; then
        echo "$(at) skipped: three daemons are out, or this one still is"
        skipped=$((skipped + 1))
        return
      fi ;;
  esac
  [ "$1" = end ] || happened[$2]=$((${happened[$2]:-0} + 1))
  case $3 in
    kill)
      kill -KILL "${daemon_pid[n]}"
      wait "${daemon_pid[n]}" 2>/dev/null || true
      daemon_pid[n]= ;;
    pause) kill -STOP "${daemon_pid[n]}"; paused[n]=1 ;;
    resume) if [ -n "${paused[n]:-}" ]; then kill -CONT "${daemon_pid[n]}"; paused[n]=; fi ;;
    term)
      drain_since[$n]=$(now_ms)
      stop_from[$n]+=" $(now_ms)"
      kill -TERM "${daemon_pid[n]}" ;;
    replace) if [ -z "${daemon_pid[n]}" ]; then replace "$n"; fi ;;
    fault) fault "$4" ;;
  esac
}

ctl() { "$build/chivedalectl" --server "$entries" "$@"; }

submit_job() {  # id, kind, tasks, run_ms; retried with the same id
  local _
  job_ids+=("$1")
  for _ in 1 2 3 4 5 6; do
    if ctl job submit "$1" "$2" --tasks "$3" --payload "{\"run_ms\":$4}" \
      >>"$dir/jobs.out" 2>&1; then return; fi
    sleep 1
  done
  echo "job $1 was not accepted" >>"$dir/jobs.out"
}

echo "seed $seed, $seconds s; the schedule:"
"$build/failure_plan" --seed "$seed" --duration $((seconds * 1000)) \
  --daemons "$daemons" --workers "$workers" --gpu-workers "$gpu_workers" >"$dir/plan"
cut -c1-110 "$dir/plan"

for n in $(seq "$daemons"); do generation[n]=1; done
cell_start_standin "$workers" "$gpu_workers"
# The VM list also contains the entries, so that a replacement finds the cell if
# both seeds are out.
list=
for n in $(seq "$daemons"); do
  list+="${list:+,}{\"id\":\"vm-$n\",\"role\":\"entry\",\"address\":\"$(cell_peer "$n")\",\"data_centre\":\"fukuoka-1\",\"region\":\"fukuoka\",\"rack\":\"\",\"state\":\"live\"}"
done
fault "{\"target\":\"vm_list\",\"add\":[$list]}"
for n in $(seq "$daemons"); do cell_start_daemon "$n"; done
entries=$(cell_entries "$daemons")
cell_wait_for "$(cell_caller 1)" /healthz
"$build/chivedalectl" --server "$(cell_caller 1)" table apply examples/table.json
cell_wait_ready "$daemons"
sleep 3

sed -e "s/\"duration_ms\": [0-9]*/\"duration_ms\": $((seconds * 1000)), \"cancel_at_ms\": $((seconds * 500))/" \
  -e 's/"repeat_share": 0.02/"repeat_share": 0.02, "cancel_share": 0.3/' \
  examples/load_demo.json >"$dir/load.json"
begin=$(now_ms)
"$build/chivedale_load" --entries "$entries" --profile "$dir/load.json" \
  --table examples/table.json --book "$cell_control" --seed "$seed" \
  --label failures --unanswered "$dir/unanswered" >"$dir/load.out" 2>&1 &
load_pid=$!
cell_pids+=("$load_pid")
job_ids=(archive erosion sensors)
(
  submit_job archive retranscribe-archive 30 2000
  submit_job erosion map-erosion 4 3000
  submit_job sensors sensor-watch 3 3600000
) &
jobs_pid=$!
cell_pids+=("$jobs_pid")

while read -r due phase kind verb argument; do
  while [ $(($(now_ms) - begin)) -lt "$due" ]; do
    reap_drained
    sleep 0.05
  done
  step "$phase" "$kind" "$verb" "$argument"
done <"$dir/plan"
# Waits for requests and drains, which end by their deadlines.
limit=$((begin + (seconds + 120) * 1000))
while { kill -0 "$load_pid" 2>/dev/null || [ "${#drain_since[@]}" -gt 0 ]; } &&
  [ "$(now_ms)" -lt "$limit" ]; do
  reap_drained
  sleep 0.1
done
load_code=0
if kill -0 "$load_pid" 2>/dev/null; then
  echo "the load did not end in time"
  kill -KILL "$load_pid"
fi
wait "$load_pid" || load_code=$?
wait "$jobs_pid" || true
for n in "${!drain_since[@]}"; do
  echo "daemon $n did not end"
  stops_wrong=$((stops_wrong + 1))
  stop_until[$n]+=" $(now_ms)"
done

# The batch job and the gang must end; the service must run all its tasks.
jobs_lost=0
for id in archive erosion sensors; do
  wanted='"phase":"\(succeeded\|failed\)","reason"'
  [ "$id" != sensors ] || wanted='\("phase":"running".*\)\{3\}'
  for _ in $(seq 60); do
    ctl --json job show "$id" >"$dir/job-$id.json" 2>&1 || true
    if grep -q "$wanted" "$dir/job-$id.json"; then break; fi
    sleep 0.5
  done
  grep -q "$wanted" "$dir/job-$id.json" || jobs_lost=$((jobs_lost + 1))
  echo "job $id: $(grep -o '"phase":"[a-z_]*"' "$dir/job-$id.json" | sort | uniq -c | tr -s ' \n' ' ')"
done

# Counts sends that a daemon received but did not answer between its SIGTERM and
# its exit.
cut_off=0
for n in "${!stop_from[@]}"; do
  from=(${stop_from[$n]}) until=(${stop_until[$n]:-})
  for i in "${!from[@]}"; do
    lines=$(awk -v a="${from[i]}" -v b="${until[i]:-0}" -v e="$(cell_caller "$n")" \
      '$2 == e && $3 == "cut_off" && $4 != "timeout" && $1 >= a && $1 <= b' "$dir/unanswered")
    if [ -n "$lines" ]; then
      echo "cut off by the stop of daemon $n:"
      echo "$lines" | head -5
      cut_off=$((cut_off + $(echo "$lines" | wc -l)))
    fi
  done
done
curl -s --max-time 10 "http://$cell_control/book?all=1" -o "$dir/book.json" || true
violations=$(curl -s --max-time 10 "http://$cell_control/violations" || echo unknown)

echo
cat "$dir/load.out"
echo "faults injected:"
for kind in $(printf '%s\n' "${!happened[@]}" | sort); do
  printf '  %-24s %d\n' "$kind" "${happened[$kind]}"
done
echo "steps skipped: $skipped"
echo "planned stops: $stops_right with code 0, $stops_wrong otherwise; requests cut off: $cut_off"
echo "jobs lost: $jobs_lost; worker violations after the jobs: $violations"
verdict=WRONG
case $violations in
  *'"total":0,'*)
    if [ "$load_code" = 0 ] && [ "$stops_wrong" = 0 ] && [ "$cut_off" = 0 ] &&
      [ "$jobs_lost" = 0 ]; then verdict=RIGHT; fi ;;
esac
echo "failure run of $seconds s, seed $seed: $verdict"
[ "$verdict" = RIGHT ]
