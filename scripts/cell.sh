# Functions that start and stop a small cell on loopback; sourced by other
# scripts. Needs `dir` (scratch directory) and `build`. Ports from CELL_BASE
# (default 21000): +0 store, +1 VM list, +2 control, +100+n callers, +200+n
# peers. Cells with different bases can run at the same time. If the base is in
# the range of ephemeral ports (ip_local_port_range), a connection of another
# process may use one of the ports; CELL_IP=127.0.0.2 avoids that, since such
# connections come from 127.0.0.1.

cell_base=${CELL_BASE:-21000}
cell_ip=${CELL_IP:-127.0.0.1}
cell_store=$cell_ip:$cell_base
cell_vms=$cell_ip:$((cell_base + 1))
cell_control=$cell_ip:$((cell_base + 2))
cell_pids=()
# Number of starts of daemon n; set by scripts that replace daemons.
generation=()

cell_caller() { echo "$cell_ip:$((cell_base + 100 + $1))"; }
cell_peer() { echo "$cell_ip:$((cell_base + 200 + $1))"; }

cell_start_standin() {  # workers, GPU workers
  "$build/standin" --store "$cell_store" --vm-list "$cell_vms" \
    --control "$cell_control" --workers "$1" \
    --gpu-workers "$2" --data-centres fukuoka:fukuoka-1,fukuoka:fukuoka-2,kumamoto:kumamoto-1 \
    --seed "${seed:-1}" >"$dir/standin.log" 2>&1 &
  standin_pid=$!
  cell_pids+=("$standin_pid")
  cell_wait_for "$cell_control" /book
  # Fails if another cell uses these ports, whose answers must not be mistaken
  # for those of this cell.
  kill -0 "$standin_pid" 2>/dev/null || { cat "$dir/standin.log" >&2; return 1; }
}

cell_wait_for() {  # address, path
  for _ in $(seq 100); do
    if curl -s -o "$dir/wait.out" --max-time 1 "http://$1$2"; then return 0; fi
    sleep 0.1
  done
  echo "no answer from http://$1$2" >&2
  return 1
}

cell_start_daemon() {  # number from 1, additional settings as JSON text
  local n=$1 extra=${2:-}
  local centre=fukuoka-1 region=fukuoka
  case $((n % 3)) in
    1) centre=fukuoka-1 ;;
    2) centre=fukuoka-2 ;;
    0) centre=kumamoto-1 region=kumamoto ;;
  esac
  cat >"$dir/daemon-$n.json" <<JSON
{"vm_id": "entry-$n${generation[n]:+-${generation[n]}}", "data_centre": "$centre", "region": "$region",
 "caller_address": "$(cell_caller "$n")",
 "peer_address": "$(cell_peer "$n")",
 "store_address": "$cell_store", "vm_list_address": "$cell_vms",
 "seeds": ["$(cell_peer 1)", "$(cell_peer 2)"],
 "log_file": "$dir/daemon-$n.log"$extra}
JSON
  "$build/chivedaled" --config "$dir/daemon-$n.json" \
    >>"$dir/daemon-$n.out" 2>&1 &
  daemon_pid[n]=$!
  cell_pids+=("$!")
}

cell_wait_ready() {  # number of daemons
  local n
  for n in $(seq "$1"); do
    for _ in $(seq 200); do
      if curl -sf -o "$dir/wait.out" --max-time 1 \
        "http://$(cell_caller "$n")/readyz"; then continue 2; fi
      sleep 0.1
    done
    echo "daemon $n did not become ready: $(cat "$dir/wait.out")" >&2
    tail -5 "$dir/daemon-$n.log" >&2
    return 1
  done
}

cell_entries() {  # number of daemons
  local list= n
  for n in $(seq "$1"); do list+="${list:+,}$(cell_caller "$n")"; done
  echo "$list"
}

cell_stop() {
  local pid
  for pid in "${cell_pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${cell_pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait "${cell_pids[@]}" 2>/dev/null || true
}
