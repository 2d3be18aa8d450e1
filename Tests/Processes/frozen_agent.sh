#!/usr/bin/env bash
# An agent with requests in flight is suspended with SIGSTOP and later resumed. Its
# requests have to be answered by other agents, and the frames that it still sends
# after resuming must not be mixed into other answers.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
begin_fleet frozen-agent
start_small_fleet
start_load first --requests 150 --seed 11 --rate 60 $load_switches
wait_until 20 "agent-1 to have work" has_work agent-1
kill -STOP "${process_ids[agent-1]}"
expect_successful_load first
kill -CONT "${process_ids[agent-1]}"
start_load second --requests 100 --seed 12 --rate 60 $load_switches
expect_successful_load second
stop_fleet
