#!/usr/bin/env bash
# The agent of a plain service is killed while at-most-once calls are in flight. No
# call may run twice or be reported as "not run" although it ran.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
begin_fleet killed-payments
start_small_fleet
start_load load --requests 150 --seed 31 --rate 100 --only-service $load_switches
wait_until 20 "agent-orders-1 to have work" has_work agent-orders-1
kill_process agent-orders-1
expect_successful_load load
stop_fleet
