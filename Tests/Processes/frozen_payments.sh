#!/usr/bin/env bash
# The agent of a plain service is suspended with SIGSTOP while at-most-once calls
# are in flight, and later resumed. No call may run twice or be reported as "not
# run" although it ran.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
begin_fleet frozen-payments
start_small_fleet
start_load first --requests 150 --seed 21 --rate 100 --only-service $load_switches
wait_until 20 "agent-orders-1 to have work" has_work agent-orders-1
kill -STOP "${process_ids[agent-orders-1]}"
start_load meanwhile --requests 60 --seed 22 --rate 100 --only-service $load_switches
expect_successful_load meanwhile
kill -CONT "${process_ids[agent-orders-1]}"
expect_successful_load first
stop_fleet
