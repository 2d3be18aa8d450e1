#!/usr/bin/env bash
# Every second answer to a write of the table is lost after the write has taken
# effect: no at-most-once call may run twice.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
fleet_begin lost-answers
start_small_fleet
table_fault '{"table": "lose_answers", "lose_one_in": 2}'
start_load load --requests 150 --seed 51 --rate 60 --only-service $load_switches
expect_true_load load
lost=$(http GET "$platform" /counts | number answers_lost)
[ "$lost" -gt 0 ] || fail "No answer of the table was lost, so nothing was tried."
echo "Answers of the table lost: $lost"
table_fault '{"table": "up"}'
stop_fleet
