#!/usr/bin/env bash
# An agent with requests in flight is frozen and later goes on: its requests are
# answered elsewhere, and what it still sends is not mixed up with anything.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
fleet_begin frozen-agent
start_small_fleet
start_load first --requests 150 --seed 11 --rate 60 $load_switches
wait_until 20 "agent-1 to have work" has_work agent-1
kill -STOP "${process_ids[agent-1]}"
expect_true_load first
kill -CONT "${process_ids[agent-1]}"
start_load second --requests 100 --seed 12 --rate 60 $load_switches
expect_true_load second
stop_fleet
