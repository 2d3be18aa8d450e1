#!/usr/bin/env bash
# A request that crashes every engine that runs it is sent repeatedly through both
# routers. It has to be rejected after a few crashes, and all other requests have
# to be served.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
begin_fleet crash-word
engine_starter=start_supervised_engine
start_small_fleet --crash-word KILLER
start_load load --requests 200 --seed 81 --rate 40 --only-model $load_switches
wait_until 20 "agent-1 to have work" has_work agent-1

send_crashing() {
  http_headers='Chestnut-Customer: schools\r\nContent-Type: application/json\r\n'
  http POST "$(address_of "$1" public_address)" /v1/chat/completions \
    '{"model":"chestnut-llm","max_tokens":4,"messages":[{"role":"user","content":"KILLER"}]}'
  http_headers=""
}

crash_limit=2
echo "First copy: $(send_crashing router-1)"
[ "$(count_crashes)" -le "$crash_limit" ] || fail "The first copy crashed $(count_crashes) engines."
echo "Second copy: $(send_crashing router-2)"
[ "$(count_crashes)" -le "$crash_limit" ] || fail "Two copies crashed $(count_crashes) engines."
expect_successful_load load
before=$(count_crashes)
for router in router-1 router-2; do
  send_crashing "$router" | grep -q request_refused_after_crashes \
    || fail "$router did not reject a later copy."
done
echo "Crashes: $(count_crashes)"
[ "$(count_crashes)" -eq "$before" ] || fail "A later copy crashed another engine."
stop_fleet
