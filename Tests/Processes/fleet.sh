# Functions that start a small fleet of real processes on 127.0.0.1, for the
# demo and the process tests. To be sourced. All waits poll for a condition; there
# are no fixed delays.
#
#   begin_fleet NAME      creates a folder for logs and files; installs the cleanup at exit
#   start_platform, start_engine, start_service, start_agent, start_router
#   apply_answers FILE    writes the fleet file, applies the answer file, and waits until
#                         the configuration is in force
#   stop_fleet            stops all processes gracefully and checks their exit statuses

fleet_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
fleet_bin=${CHESTNUT_BIN:-$fleet_root/build/bin}
poll_seconds=0.05
declare -A process_ids=()
declare -A status_addresses=()
declare -A killed=()
routers=()

begin_fleet() {
  fleet_dir=$(mktemp -d "${TMPDIR:-/tmp}/chestnuthead-$1.XXXXXX")
  trap clean_up_fleet EXIT
}

# Kills the remaining processes that were started here, by their ids.
clean_up_fleet() {
  local status=$? name
  for name in "${!process_ids[@]}"; do
    kill -KILL "${process_ids[$name]}" 2>/dev/null || true
    [ ! -e "$fleet_dir/$name.child" ] || kill -KILL "$(<"$fleet_dir/$name.child")" || true
  done
  wait 2>/dev/null || true
  if [ "$status" -eq 0 ]; then
    rm -rf "$fleet_dir"
  else
    echo "Failed with status $status; the logs are in $fleet_dir." >&2
  fi
}

fail() {
  echo "$*" >&2
  exit 1
}

# wait_until SECONDS DESCRIPTION COMMAND...: polls until the command succeeds.
wait_until() {
  local end=$((SECONDS + $1)) what=$2
  shift 2
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || fail "Timed out waiting for: $what."
    sleep "$poll_seconds"
  done
}

# http METHOD ADDRESS PATH [BODY]: prints the body of the response. http_headers
# may hold additional header lines, each with its line end.
http_headers=""
http() {
  local host=${2%:*} port=${2##*:} body=${4:-}
  {
    exec 9<>"/dev/tcp/$host/$port" || return 1
  } 2>/dev/null
  printf '%s %s HTTP/1.0\r\nHost: %s\r\n%bContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "$2" "$http_headers" "${#body}" "$body" >&9
  sed '1,/^\r$/d' <&9
  exec 9<&- 9>&-
}

# json_string FILE KEY: prints the string value of a key of a flat JSON object.
json_string() {
  sed -n "s/.*\"$2\" *: *\"\([^\"]*\)\".*/\1/p" "$1" | head -n 1
}

# json_number KEY: prints the numeric value of a key of the JSON object on standard input.
json_number() {
  sed -n "s/.*\"$1\" *: *\(-\{0,1\}[0-9.]*\).*/\1/p" | head -n 1
}

start_process() {
  local name=$1
  shift
  "$@" >"$fleet_dir/$name.out" 2>"$fleet_dir/$name.log" &
  process_ids[$name]=$!
}

is_ready_or_exited() {
  [ -s "$fleet_dir/$1.ready" ] || ! kill -0 "${process_ids[$1]}" 2>/dev/null
}

wait_ready() {
  wait_until 20 "$1 to listen" is_ready_or_exited "$1"
  [ -s "$fleet_dir/$1.ready" ] || fail "$1 exited during startup: $(tail -n 3 "$fleet_dir/$1.log")"
}

# start_stand_in PROGRAM NAME [OPTIONS]: starts a simulated back end or platform.
start_stand_in() {
  local program=$1 name=$2
  shift 2
  start_process "$name" "$fleet_bin/$program" --ready-file "$fleet_dir/$name.ready" "$@"
  wait_ready "$name"
}

start_platform() {
  start_stand_in platform platform "$@"
  platform=$(json_string "$fleet_dir/platform.ready" address)
}

start_engine() {
  local name=$1
  shift
  start_stand_in model-engine "$name" --name "$name" "$@"
}

# Runs an engine and restarts it on the same port whenever it crashes; each crash
# appends a line to NAME.crashes. To be run in the background.
supervise_engine() {
  local name=$1 port=0 child
  shift
  trap 'kill -TERM "$child" 2>/dev/null; wait "$child"; exit 0' TERM
  while true; do
    "$fleet_bin/model-engine" --name "$name" --port "$port" \
      --ready-file "$fleet_dir/$name.ready" "$@" &
    child=$!
    echo "$child" >"$fleet_dir/$name.child"
    wait "$child" || echo "crashed with status $?" >>"$fleet_dir/$name.crashes"
    port=$(address_of "$name")
    port=${port##*:}
  done
}

start_supervised_engine() {
  start_process "$1" supervise_engine "$@"
  wait_ready "$1"
}

count_crashes() {
  cat "$fleet_dir"/*.crashes 2>/dev/null | wc -l
}

start_service() {
  start_stand_in plain-service "$@"
}

address_of() {
  json_string "$fleet_dir/$1.ready" "${2:-address}"
}

register_vm() {
  local vm="{\"node\":\"$1\",\"role\":\"$2\",\"pool\":\"$3\",\"failure_domain\":\"$4\""
  vm+=",\"region\":\"test\",\"address\":\"$(address_of "$1" peer_address)\"}"
  http POST "$platform" /vms "{\"action\":\"add\",\"vm\":$vm}" >"$fleet_dir/vms.out"
}

# start_agent NAME POOL KIND DOMAIN STAND_IN
start_agent() {
  cat >"$fleet_dir/$1.json" <<SETTINGS
{"node": "$1", "failure_domain": "$4", "region": "test", "platform_address": "$platform",
 "pool": "$2", "pool_kind": "$3", "endpoint_address": "$(address_of "$5")",
 "ready_file": "$fleet_dir/$1.ready"}
SETTINGS
  start_process "$1" "$fleet_bin/chestnut-agent" "$fleet_dir/$1.json"
  wait_ready "$1"
  status_addresses[$1]=$(address_of "$1" status_address)
  register_vm "$1" agent "$2" "$4"
}

# start_router NAME DOMAIN
start_router() {
  cat >"$fleet_dir/$1.json" <<SETTINGS
{"node": "$1", "failure_domain": "$2", "region": "test", "platform_address": "$platform",
 "ready_file": "$fleet_dir/$1.ready"}
SETTINGS
  start_process "$1" "$fleet_bin/chestnut-router" "$fleet_dir/$1.json"
  wait_ready "$1"
  status_addresses[$1]=$(address_of "$1" status_address)
  routers+=("$1")
  register_vm "$1" router "" "$2"
}

router_addresses() {
  local name list=""
  for name in "${routers[@]}"; do
    list+="${list:+,}$(address_of "$name" public_address)"
  done
  echo "$list"
}

write_fleet_file() {
  local name nodes=""
  for name in "${!status_addresses[@]}"; do
    nodes+="${nodes:+, }\"$name\": \"${status_addresses[$name]}\""
  done
  export CHESTNUT_FLEET=$fleet_dir/fleet.json
  echo "{\"platform_address\": \"$platform\", \"nodes\": {$nodes}}" >"$CHESTNUT_FLEET"
}

control() {
  "$fleet_bin/chestnutctl" "$@"
}

all_ready() {
  local name
  for name in "${!status_addresses[@]}"; do
    [ -n "${killed[$name]:-}" ] && continue
    http GET "${status_addresses[$name]}" /status | grep -q '"ready":true' || return 1
  done
}

apply_answers() {
  write_fleet_file
  control apply "$1" --wait >"$fleet_dir/apply.out" || fail "The configuration was not applied."
  wait_until 20 "all nodes to be ready" all_ready
}

start_load() {
  local name=$1
  shift
  start_process "$name" "$fleet_bin/chestnut-load" --routers "$(router_addresses)" "$@"
}

# Waits for a load process and stores its exit status in load_status.
wait_for_load() {
  load_status=0
  wait "${process_ids[$1]}" || load_status=$?
  unset "process_ids[$1]"
}

# expect_successful_load NAME: waits for a load process and fails unless its exit status
# is 0.
expect_successful_load() {
  wait_for_load "$1"
  tail -n 1 "$fleet_dir/$1.out"
  [ "$load_status" -eq 0 ] || fail "Load $1 received an incomplete, mixed-up or false outcome."
}

# load_number NAME KEY: prints a number from the load's summary.
load_number() {
  tail -n 1 "$fleet_dir/$1.out" | json_number "$2"
}

set_table_fault() {
  http POST "$platform" /fault "$1" >"$fleet_dir/fault.out"
}

in_flight() {
  http GET "${status_addresses[$1]}" /status | sed 's/requests_in_flight/in_flight/' \
    | json_number in_flight
}

# has_work NODE [COUNT]: succeeds if at least COUNT (default 1) requests are in
# flight on the node.
has_work() {
  [ "$(in_flight "$1")" -ge "${2:-1}" ]
}

kill_process() {
  kill -KILL "${process_ids[$1]}"
  wait "${process_ids[$1]}" 2>/dev/null || true
  killed[$1]=yes
  unset "process_ids[$1]"
}

# stop_processes NAME...: sends SIGTERM to all; each has to exit with status 0.
# Skips processes that have already been stopped or killed.
stop_processes() {
  local name status
  for name in "$@"; do
    [ -z "${process_ids[$name]:-}" ] || kill -TERM "${process_ids[$name]}" 2>/dev/null || true
  done
  for name in "$@"; do
    [ -n "${process_ids[$name]:-}" ] || continue
    status=0
    wait "${process_ids[$name]}" || status=$?
    unset "process_ids[$name]"
    [ "$status" -eq 0 ] || fail "$name exited with status $status after SIGTERM."
  done
}

# Fails if a running node reports violated invariants.
check_invariants() {
  local name broken
  for name in "${!status_addresses[@]}"; do
    [ -n "${process_ids[$name]:-}" ] || continue
    broken=$(http GET "${status_addresses[$name]}" /status | json_number invariants_broken)
    [ "$broken" = 0 ] || fail "$name reports $broken violated invariants."
  done
}

# Stops routers first: agents and endpoints have to serve requests in flight until
# the routers have finished.
stop_fleet() {
  check_invariants
  stop_processes "${routers[@]}"
  stop_processes "${!status_addresses[@]}"
  stop_processes "${!process_ids[@]}"
}

# start_small_fleet [ENGINE OPTIONS]: starts four engines and two plain services in
# the failure domains north and south, their agents, and two routers.
start_small_fleet() {
  local number domain engine=${engine_starter:-start_engine}
  start_platform --vm-lag-ms 200
  for number in 1 2 3 4; do
    domain=$([ "$number" -le 2 ] && echo north || echo south)
    "$engine" "engine-$number" "$@"
    start_agent "agent-$number" chestnut-llm model_engine "$domain" "engine-$number"
  done
  start_service orders-1 --delay-ms 20
  start_service orders-2 --delay-ms 20
  start_agent agent-orders-1 kit-orders plain_service north orders-1
  start_agent agent-orders-2 kit-orders plain_service south orders-2
  start_router router-1 north
  start_router router-2 south
  apply_answers "$fleet_root/docs/examples/demo.answers.json"
  executions="--executions-from $(address_of orders-1),$(address_of orders-2)"
  load_switches="--customers schools,families $executions"
}
