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
for router in router-1 router-2 router-1 router-2; do
  answer=$(send_crashing "$router")
  echo "$router: $answer"
done
echo "$answer" | grep -q request_refused_after_crashes \
  || fail "The last copy of the request was not refused for its crashes."
expect_true_load load
echo "Crashes: $(crashes)"
[ "$(crashes)" -le "$crash_limit" ] || fail "The request crashed $(crashes) engines."
stop_fleet
