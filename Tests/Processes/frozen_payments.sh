#!/usr/bin/env bash
# The agent beside a plain service is frozen with at-most-once calls in flight
# and later goes on: no call may run twice or be told a false "not run".
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
fleet_begin frozen-payments
start_small_fleet
start_load first --requests 150 --seed 21 --rate 100 --only-service $load_switches
wait_until 20 "agent-orders-1 to have work" has_work agent-orders-1
kill -STOP "${process_ids[agent-orders-1]}"
start_load meanwhile --requests 60 --seed 22 --rate 100 --only-service $load_switches
expect_true_load meanwhile
kill -CONT "${process_ids[agent-orders-1]}"
expect_true_load first
stop_fleet
