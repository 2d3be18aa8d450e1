#!/usr/bin/env bash
# Every second response to a write of the table is lost after the write has been
# applied. No at-most-once call may run twice.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
begin_fleet lost-answers
start_small_fleet
set_table_fault '{"table": "lose_answers", "lose_one_in": 2}'
start_load load --requests 150 --seed 51 --rate 60 --only-service $load_switches
expect_successful_load load
lost=$(http GET "$platform" /counts | json_number answers_lost)
[ "$lost" -gt 0 ] || fail "The table lost no response, so the test exercised nothing."
echo "Lost responses of the table: $lost"
set_table_fault '{"table": "up"}'
stop_fleet
