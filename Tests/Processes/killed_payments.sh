#!/usr/bin/env bash
# The agent beside a plain service is killed with at-most-once calls in flight.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
fleet_begin killed-payments
start_small_fleet
start_load load --requests 150 --seed 31 --rate 100 --only-service $load_switches
wait_until 20 "agent-orders-1 to have work" has_work agent-orders-1
kill_hard agent-orders-1
expect_true_load load
stop_fleet
