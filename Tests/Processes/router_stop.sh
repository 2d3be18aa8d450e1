#!/usr/bin/env bash
# A router is stopped gracefully under load. No request in flight may be cut off or
# stay without a response.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
begin_fleet router-stop
start_small_fleet
start_load load --requests 200 --seed 61 --rate 60 --concurrency 32 $load_switches
wait_until 20 "router-1 to have requests in flight" has_work router-1 3
stop_processes router-1
expect_successful_load load
for kind in answer_cut no_reply; do
  count=$(load_number load "$kind")
  [ -z "$count" ] || fail "$count requests ended with $kind while the router stopped."
done
stop_fleet
