#!/usr/bin/env bash
# Installs missing packages, builds, starts a small fleet of real processes, sends
# 200 requests of all kinds, stops the fleet gracefully and prints a summary as the
# last line. The exit status is 0 only if every request received a complete and
# correct outcome that belongs to it. --kill-agent kills one agent with SIGKILL
# while it has requests in flight.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

usage="Usage: Utilities/demo.sh [--kill-agent] [--no-build]"
kill_agent=no
build=yes
for argument in "$@"; do
  case $argument in
    --kill-agent) kill_agent=yes ;;
    --no-build) build=no ;;
    --help) echo "$usage" && exit 0 ;;
    *) echo "Unknown argument \"$argument\". $usage" >&2 && exit 2 ;;
  esac
done

if [ "$build" = yes ]; then
  Utilities/install-packages.sh
  cmake --preset default
  cmake --build --preset default --target fleet_programs
fi

source Tests/Processes/fleet.sh
begin_fleet demo
start_platform
for number in 1 2 3 4; do
  start_engine "engine-$number"
done
start_service orders
start_agent agent-1 chestnut-llm model_engine north engine-1
start_agent agent-2 chestnut-llm model_engine north engine-2
start_agent agent-3 chestnut-llm model_engine south engine-3
start_agent agent-4 chestnut-llm model_engine south engine-4
start_agent agent-orders kit-orders plain_service north orders
start_router router-1 north
start_router router-2 south
apply_answers docs/examples/demo.answers.json

start_load load --requests 200 --seed 7 --rate 60 --customers schools,families \
  --model-endpoints 4 --executions-from "$(address_of orders)"
if [ "$kill_agent" = yes ]; then
  wait_until 20 "agent-1 to have work" has_work agent-1
  kill_process agent-1
fi
wait_for_load load
stop_fleet
tail -n 1 "$fleet_dir/load.out"
exit "$load_status"
