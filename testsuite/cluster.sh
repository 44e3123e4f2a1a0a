# Shell functions that start and stop a small estate of real processes on
# 127.0.0.1. Sourced by the demo, the benchmarks and the cases that run real
# processes.
#
# BIN     folder of the built programs
# WORK    temporary folder of this run: settings, data, logs, records
# BASE    first port; a run uses ports BASE to BASE + 399

PIDS=()

fail() {
  echo "FAIL: $*" >&2
  exit 1
}

# start NAME COMMAND...: starts a process and stores its id in PID_NAME.
start() {
  local name=$1
  shift
  "$@" >"$WORK/$name.out" 2>&1 &
  eval "PID_${name//-/_}=$!"
  PIDS+=($!)
}

pid_of() {
  eval "echo \$PID_${1//-/_}"
}

# end NAME [SIGNAL]: sends a signal (default TERM) and waits until the process
# exits; returns its exit status.
end() {
  local pid
  pid=$(pid_of "$1")
  kill "-${2:-TERM}" "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null
}

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill "$pid" 2>/dev/null; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null; done
  PIDS=()
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds; fails after
# SECONDS.
wait_for() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $limit ] || return 1
    sleep 0.1
  done
}

ZONES=(telavi gurjaani sighnaghi)
CONTROLS=${CONTROLS:-3}
ENTRIES=${ENTRIES:-2}
ENDPOINTS=${ENDPOINTS:-3}
GATEWAYS=${GATEWAYS:-1}
AGENTS=${AGENTS:-2}
WORKER_INCARNATIONS=0

control_link() { echo "127.0.0.1:$((BASE + 10 + $1))"; }
control_http() { echo "127.0.0.1:$((BASE + 20 + $1))"; }
entry_link() { echo "127.0.0.1:$((BASE + 30 + $1))"; }
entry_http() { echo "127.0.0.1:$((BASE + 40 + $1))"; }
endpoint_link() { echo "127.0.0.1:$((BASE + 100 + $1))"; }
endpoint_http() { echo "127.0.0.1:$((BASE + 150 + $1))"; }
worker_http() { echo "127.0.0.1:$((BASE + 200 + $1))"; }
gateway_link() { echo "127.0.0.1:$((BASE + 300 + $1))"; }
gateway_callers() { echo "127.0.0.1:$((BASE + 310 + $1))"; }
gateway_ready() { echo "127.0.0.1:$((BASE + 320 + $1))"; }
agent_link() { echo "127.0.0.1:$((BASE + 330 + $1))"; }
agent_control() { echo "127.0.0.1:$((BASE + 350 + $1))"; }
job_worker_http() { echo "127.0.0.1:$((BASE + 370 + $1))"; }
service_http() { echo "127.0.0.1:$((BASE + 250 + $1))"; }

# common_settings NAME: prints the settings that every process has.
common_settings() {
  local controls="" entries="" i
  for ((i = 1; i <= CONTROLS; i++)); do
    controls+="${controls:+,}{\"id\":\"control-$i\",\"link\":\"$(control_link "$i")\"}"
  done
  for ((i = 1; i <= ENTRIES; i++)); do
    entries+="${entries:+,}\"$(entry_link "$i")\""
  done
  echo "\"controls\":[$controls],\"entries\":[$entries],
   \"log\":{\"level\":\"${LOG_LEVEL:-info}\",\"file\":\"$WORK/$1.log\"},
   \"trace_file\":\"$WORK/spans.jsonl\"${TIMING:+,\"timing\":$TIMING}${LIMITS:+,\"limits\":$LIMITS}"
}

write_settings() {
  local i zone
  for ((i = 1; i <= CONTROLS; i++)); do
    zone=${ZONES[$(((i - 1) % 3))]}
    echo "{\"id\":\"control-$i\",\"availability_zone\":\"$zone\",\"duties\":[\"control\"],
   \"data_folder\":\"$WORK/data-control-$i\",
   \"control\":{\"http\":\"$(control_http "$i")\",\"link\":\"$(control_link "$i")\"},
   $(common_settings "control-$i")}" >"$WORK/control-$i.json"
  done
  for ((i = 1; i <= ENTRIES; i++)); do
    zone=${ZONES[$(((i - 1) % 3))]}
    echo "{\"id\":\"entry-$i\",\"availability_zone\":\"$zone\",\"duties\":[\"entry\"],
   \"entry\":{\"http\":\"$(entry_http "$i")\",\"link\":\"$(entry_link "$i")\"},
   $(common_settings "entry-$i")}" >"$WORK/entry-$i.json"
  done
  for ((i = 1; i <= ENDPOINTS; i++)); do
    zone=${ZONES[$(((i - 1) % 3))]}
    echo "{\"id\":\"vm-$i\",\"availability_zone\":\"$zone\",\"rack\":\"rack-$(((i + 2) / 3))\",\"duties\":[\"endpoint\"],
   \"endpoint\":{\"http\":\"$(endpoint_http "$i")\",\"link\":\"$(endpoint_link "$i")\",\"worker_url\":\"http://$(worker_http "$i")\"},
   $(common_settings "vm-$i")}" >"$WORK/vm-$i.json"
  done
}

# Settings of the processes that run jobs: gateways and agents. Each agent has a
# worker next to it.
write_job_settings() {
  local i
  for ((i = 1; i <= GATEWAYS; i++)); do
    echo "{\"id\":\"gateway-$i\",\"availability_zone\":\"${ZONES[$(((i - 1) % 3))]}\",\"duties\":[\"gateway\"],
   \"gateway\":{\"link\":\"$(gateway_link "$i")\"},
   \"platform\":{\"callers\":\"$(gateway_callers "$i")\",\"ready\":\"$(gateway_ready "$i")\"},
   $(common_settings "gateway-$i")}" >"$WORK/gateway-$i.json"
  done
  for ((i = 1; i <= AGENTS; i++)); do
    echo "{\"id\":\"agent-$i\",\"availability_zone\":\"${ZONES[$(((i - 1) % 3))]}\",\"duties\":[\"agent\"],
   \"agent\":{\"link\":\"$(agent_link "$i")\"},
   \"platform\":{\"control\":\"$(agent_control "$i")\",\"worker\":\"$(job_worker_http "$i")\"},
   $(common_settings "agent-$i")}" >"$WORK/agent-$i.json"
  done
}

start_gateway() { start "gateway-$1" "$BIN/savoryringd" --settings="$WORK/gateway-$1.json"; }
start_agent() { start "agent-$1" "$BIN/savoryringd" --settings="$WORK/agent-$1.json"; }
start_job_worker() {
  start "job-worker-$1" "$BIN/job_worker_standin" --listen="$(job_worker_http "$1")" \
    --agent="$(agent_control "$1")" --instance="i-$1-$((++WORKER_INCARNATIONS))" --service="${SERVICE:-gauge-check}" \
    --record="$WORK/runs.record"
}
start_jobs() {
  local i
  write_job_settings
  for ((i = 1; i <= GATEWAYS; i++)); do start_gateway "$i"; done
  for ((i = 1; i <= AGENTS; i++)); do start_agent "$i"; start_job_worker "$i"; done
}

start_control() { start "control-$1" "$BIN/savoryringd" --settings="$WORK/control-$1.json"; }
start_entry() { start "entry-$1" "$BIN/savoryringd" --settings="$WORK/entry-$1.json"; }
start_vm() { start "vm-$1" "$BIN/savoryringd" --settings="$WORK/vm-$1.json"; }
start_worker() {
  start "worker-$1" "$BIN/worker_standin" --listen="$(worker_http "$1")" \
    --record="$WORK/tasks.record" --name="vm-$1"
}
start_service() {
  start "service-$1" "$BIN/endpoint_standin" --listen="$(service_http "$1")" \
    --announce="http://$(endpoint_http "$1")" --service="${SERVICE:-gauge-check}" \
    --slots="${SLOTS:-8}" --latency_ms="${LATENCY_MS:-2}" --record="$WORK/requests.record"
}

start_all() {
  local i
  write_settings
  for ((i = 1; i <= CONTROLS; i++)); do start_control "$i"; done
  for ((i = 1; i <= ENDPOINTS; i++)); do start_worker "$i"; start_vm "$i"; start_service "$i"; done
  for ((i = 1; i <= ENTRIES; i++)); do start_entry "$i"; done
  wait_for 20 cli status || fail "no leader was elected"
  for ((i = 1; i <= ENTRIES; i++)); do
    wait_for 20 curl -sf "http://$(entry_http "$i")/readyz" || fail "entry-$i is not ready"
  done
}

cli() { "$BIN/savoryring" --server="http://$(entry_http "${ENTRY:-1}")" "$@"; }

task_state() {
  cli task show "$1" | sed -n 's/.*"state": "\(.*\)".*/\1/p'
}

task_is() { [ "$(task_state "$1")" = "$2" ]; }

job_state() {
  cli job show "$1" | sed -n 's/.*"state": "\(.*\)".*/\1/p'
}

job_is() { [ "$(job_state "$1")" = "$2" ]; }
