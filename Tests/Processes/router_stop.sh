#!/usr/bin/env bash
# A router is stopped in the middle of a load: no request in flight is cut off.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
fleet_begin router-stop
start_small_fleet
start_load load --requests 200 --seed 61 --rate 60 --concurrency 32 $load_switches
wait_until 20 "router-1 to have requests in flight" has_work router-1 3
stop_processes router-1
expect_true_load load
for kind in answer_cut no_reply; do
  count=$(load_number load "$kind")
  [ -z "$count" ] || fail "$count requests met with $kind while the router stopped."
done
stop_fleet
