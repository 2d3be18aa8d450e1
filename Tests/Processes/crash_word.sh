#!/usr/bin/env bash
# A request that crashes each engine that runs it is sent again through both
# routers: it is refused after a few crashes, and all others are served.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
fleet_begin crash-word
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
[ "$(crashes)" -le "$crash_limit" ] || fail "The first copy crashed $(crashes) engines."
echo "Second copy: $(send_crashing router-2)"
[ "$(crashes)" -le "$crash_limit" ] || fail "Two copies crashed $(crashes) engines."
expect_true_load load
before=$(crashes)
for router in router-1 router-2; do
  send_crashing "$router" | grep -q request_refused_after_crashes \
    || fail "A later copy was not refused by $router."
done
echo "Crashes: $(crashes)"
[ "$(crashes)" -eq "$before" ] || fail "A later copy crashed another engine."
stop_fleet
