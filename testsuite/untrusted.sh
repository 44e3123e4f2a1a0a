# Shell functions of the cases "untrusted-clients-*" and "legal-jobs-*": clients
# that nobody controls occupy a listener, or send requests that are legal and
# costly. The process must stay within the memory and descriptors of its VM and
# answer an ordinary request meanwhile. Sourced after cluster.sh.

# Memory of the VMs on the users' platform, in KiB. The control figure is that of
# the deployment of 100 VMs.
GATEWAY_KB=$((160 * 1024))
AGENT_KB=$((128 * 1024))
CONTROL_KB=$((213 * 1024))
# Descriptors: the default of limits.connections, and what the process opens for
# itself. A gateway's VM allows 4100.
MAX_DESCRIPTORS=1200

# The gateway and the operators' listener of a control: both are reached by the
# names below, and forward to the one control.
start_listeners() {
  rm -rf "$WORK"/*
  write_settings
  sed -i "s#\"control\":{\"http\"#\"platform\":{\"control\":\"$(agent_control 9)\"},&#" "$WORK/control-1.json"
  start_control 1
  wait_for 20 put_config || fail "the control took no configuration: $(cat "$WORK/answer")"
  write_job_settings
  start_gateway 1
  wait_for 20 curl -sf "http://$(gateway_ready 1)/ready" || fail "the gateway is not ready"
}

operators() { agent_control 9; }

TEMPER_ROUTE='{"name":"temper","hostname":"desk.example","path_prefix":"/temper/","service":"gauge-check","timeout_ms":60000,"attempts":1}'
CHECK_ROUTE='{"name":"check","hostname":"desk.example","path_prefix":"/check/","service":"gauge-check","timeout_ms":60000,"attempts":1}'

# The ordinary request of an operator, and that of a caller.
put_config() {
  CONFIG_VERSION=$((${CONFIG_VERSION:-0} + 1))
  [ "$(curl -s -m 20 -o "$WORK/answer" -w '%{http_code}' -X PUT --data \
    '{"version":'$CONFIG_VERSION',"services":[{"name":"gauge-check"}],"routes":['$TEMPER_ROUTE,$CHECK_ROUTE']}' \
    "http://$(operators)/config")" = 200 ]
}
post_job() {
  JOB_NUMBER=$((${JOB_NUMBER:-0} + 1))
  [ "$(curl -s -m 20 -o "$WORK/answer" -w '%{http_code}' -X POST -H 'Host: desk.example' \
    --data '{"phases":[{"count":1,"cpu":500}]}' "http://$(gateway_callers 1)/temper/job-$JOB_NUMBER")" = 200 ]
}

# unread_kb PID: what has arrived at the process's sockets and waits to be read.
# The platform counts it towards the process's memory.
unread_kb() {
  local inodes queue bytes=0
  inodes=$(find "/proc/$1/fd" -lname 'socket:*' -printf '%l ' 2>/dev/null | tr -dc '0-9 ')
  for queue in $(awk -v inodes="$inodes" '
    BEGIN { split(inodes, list, " "); for (i in list) own[list[i]] = 1 }
    $10 in own { split($5, queues, ":"); print queues[2] }' /proc/net/tcp); do
    bytes=$((bytes + 16#$queue))
  done
  echo $((bytes / 1024))
}

# check_process NAME PROCESS LIMIT_KB REQUEST [NOTE]: sends the ordinary request
# and checks the process. A request may be refused a few times, as any caller's
# may.
check_process() {
  local name=$1 process=$2 limit=$3 request=$4 note=${5:-} pid peak unread descriptors answered
  pid=$(pid_of "$process")
  kill -0 "$pid" 2>/dev/null || fail "$name: $process has ended"
  unread=$(unread_kb "$pid")
  answered=no
  for _ in 1 2 3; do
    "$request" && answered=yes && break
  done
  kill -0 "$pid" 2>/dev/null || fail "$name: $process has ended"
  peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$pid/status")
  descriptors=$(find "/proc/$pid/fd" -mindepth 1 | wc -l)
  echo "$name: $process peak_kb=$peak unread_kb=$unread of $limit descriptors=$descriptors of $MAX_DESCRIPTORS answered=$answered; $note"
  [ $((peak + unread)) -lt "$limit" ] || failures+=" $name:memory"
  [ "$descriptors" -lt $MAX_DESCRIPTORS ] || failures+=" $name:descriptors"
  [ "$answered" = yes ] || failures+=" $name:no-answer"
}

# check_crowd NAME PROCESS LIMIT_KB REQUEST ADDRESS CROWD_ARGUMENT...: fills the
# listener, then checks the process while the crowd stays connected.
check_crowd() {
  local name=$1 process=$2 limit=$3 request=$4 address=$5
  shift 5
  start crowd "$BIN/crowd_standin" --target="$address" "$@"
  wait_for 120 grep -q '^crowd ' "$WORK/crowd.out" || fail "$name: the crowd did not settle"
  check_process "$name" "$process" "$limit" "$request" "$(cat "$WORK/crowd.out")"
  kill -0 "$(pid_of crowd)" 2>/dev/null || fail "$name: the crowd has ended"
  end crowd KILL
}

# callers_crowd, operators_crowd NAME CROWD_ARGUMENT...: with fresh processes.
callers_crowd() {
  local name=$1
  shift
  start_listeners
  check_crowd "$name" gateway-1 $GATEWAY_KB post_job "$(gateway_callers 1)" \
    --host=desk.example --path=/temper/crowd "$@"
  stop_all
}
operators_crowd() {
  local name=$1
  shift
  start_listeners
  check_crowd "$name" control-1 $CONTROL_KB put_config "$(operators)" \
    --method=PUT --path=/config "$@"
  stop_all
}

finish() {
  [ -z "$failures" ] || fail "$failures"
  echo ok
}

failures=""
