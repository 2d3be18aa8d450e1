#!/usr/bin/env bash
# The platform's table becomes unavailable under load. Calls to the model have to
# succeed meanwhile; at-most-once calls have to be rejected as "not run" and succeed
# once the table is available again.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
begin_fleet table-down
start_small_fleet
start_load all --requests 150 --seed 41 --rate 60 $load_switches
wait_until 20 "agent-orders-1 to have work" has_work agent-orders-1
set_table_fault '{"table": "down"}'
start_load model --requests 100 --seed 42 --rate 100 --only-model $load_switches
expect_successful_load model
set_table_fault '{"table": "up"}'
expect_successful_load all
stop_fleet
