#!/usr/bin/env bash
# Runs the commands that an operator of a new fleet uses, from the empty form to
# served requests: three mistakes in the form, two operators that apply
# configurations concurrently, lost responses of the table, a node that does not
# respond, and the commands that inspect the fleet.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
begin_fleet operators

# expect STATUS PATTERN COMMAND...: fails unless the command exits with the status
# and its output matches the pattern.
expect() {
  local wanted=$1 pattern=$2 status=0
  shift 2
  "$@" >"$fleet_dir/expect.out" 2>&1 || status=$?
  if [ "$status" -ne "$wanted" ] || ! grep -q -- "$pattern" "$fleet_dir/expect.out"; then
    cat "$fleet_dir/expect.out" >&2
    fail "$*: status $status; expected $wanted and \"$pattern\"."
  fi
}

# set_value KEY VALUE: sets a key of the form, at whatever depth it is.
set_value() {
  sed -i "s|\"$1\": [^,}]*\(,\{0,1\}\)\$|\"$1\": $2\1|" "$form"
}

start_platform
start_engine engine-1
start_agent agent-1 tutor model_engine north engine-1
start_service orders
start_agent agent-2 shop plain_service north orders
start_router router-1 north
write_fleet_file

form=$fleet_dir/answers.json
control questionnaire >"$form"
sed -i -e 's/name-of-a-model/tutor/' -e 's/name-of-a-plain-service/shop/' \
  -e 's/name-of-a-customer/school/' "$form"
set_value organisation '"A new team"'
set_value failure_domains '["north"]'
set_value routers 1
set_value replicas 1
set_value requests_at_once '"eight"'
set_value requests_at_once_cold 2
set_value longest_answer_s 30
set_value idempotent_calls '["GET orders"]'
set_value at_most_once_calls '["POST /payments"]'
sed -i 's/"size": "medium"/"size": "big"/' "$form"

expect 3 'services.tutor.requests_at_once holds "eight", but' control check "$form"
expect 3 'idempotent_calls holds "GET orders", but calls written as' control check "$form"
expect 3 'customers.school.size holds "big", but one of' control check "$form"
set_value requests_at_once 8
set_value idempotent_calls '["GET /orders"]'
sed -i 's/"size": "big"/"size": "large"/' "$form"
expect 0 'is valid: 2 services, 1 customers, 1 failure domains' control check "$form"
expect 1 'Differences to version 0' control diff "$form"
expect 0 'Version 1 is in force on all 3 nodes' control apply "$form" --wait
wait_until 20 "all nodes to be ready" all_ready
start_load served --requests 30 --seed 91 --customers school --model tutor --service shop \
  --executions-from "$(address_of orders)"
expect_successful_load served

# Two operators change the configuration concurrently, both based on version 1.
control show >"$fleet_dir/base.json"
sed 's/"cache_reuse": 3/"cache_reuse": 5/' "$form" >"$fleet_dir/first.json"
sed 's/"skew": 3/"skew": 5/' "$form" >"$fleet_dir/second.json"
expect 0 'Version 2 is accepted' control apply "$fleet_dir/first.json" --base 1 --operation first
expect 4 'version 2 is in force, made by first since you looked' \
  control apply "$fleet_dir/second.json" --base 1 --base-file "$fleet_dir/base.json"
expect 4 'policy.prefix_probes: 3 becomes 5' \
  control apply "$fleet_dir/second.json" --base 1 --base-file "$fleet_dir/base.json"
expect 0 '"prefix_probes":5' control show
expect 0 'Version 3 is in force' control apply "$fleet_dir/second.json" --base 2 --wait

# If the response to a write is lost, the command reads back whether it was applied.
set_table_fault '{"table": "lose_answers"}'
expect 0 'Version 4 is accepted' control apply "$fleet_dir/first.json" --base 3
set_table_fault '{"table": "up"}'

# A node that does not confirm a change in time is reported by name.
expect 0 'Version 5 is in force' control take-out endpoint agent-1
expect 3 'does not show the endpoint "agent-9"' control take-out endpoint agent-9
kill -STOP "${process_ids[agent-2]}"
expect 1 'Version 6 is not confirmed by: agent-2' control bring-back endpoint agent-1 --timeout-s 6
kill -CONT "${process_ids[agent-2]}"

expect 0 'router-1 .*north' control status
expect 0 'attempt_sent' control timeline --node router-1
expect 0 '"events":\[{' control timeline --json
expect 0 '<svg' control timeline --html
control timeline --json --node router-1 >"$fleet_dir/timeline.json"
request=$(json_string "$fleet_dir/timeline.json" request)
expect 0 "Request $request" control explain --request "$request"
expect 0 'The node agent-1 has ended' control stop agent-1
wait "${process_ids[agent-1]}" || fail "agent-1 exited with a non-zero status."
unset "process_ids[agent-1]"
stop_fleet
echo "All operator commands behaved as expected."
