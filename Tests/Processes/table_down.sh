#!/usr/bin/env bash
# The platform's table is down in the middle of a load: calls to the model go
# on, at-most-once calls are refused truly and run once the table is back.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
fleet_begin table-down
start_small_fleet
start_load all --requests 150 --seed 41 --rate 60 $load_switches
wait_until 20 "agent-orders-1 to have work" has_work agent-orders-1
table_fault '{"table": "down"}'
start_load model --requests 100 --seed 42 --rate 100 --only-model $load_switches
expect_true_load model
table_fault '{"table": "up"}'
expect_true_load all
stop_fleet
