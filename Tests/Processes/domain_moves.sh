#!/usr/bin/env bash
# A failure domain is taken out of service and brought back under load. All
# requests have to be answered correctly, and no new request may reach the domain
# once the change is in force.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
begin_fleet domain-moves
start_small_fleet
start_load all --requests 250 --seed 71 --rate 40 $load_switches
wait_until 20 "agent-1 to have work" has_work agent-1
control take-out failure-domain north
start_load out --requests 60 --seed 72 --rate 100 --only-model $load_switches
expect_successful_load out
for engine in engine-1 engine-2; do
  count=$(load_number out "$engine")
  [ -z "$count" ] || fail "$engine served $count requests while its domain was out of service."
done
control bring-back failure-domain north
expect_successful_load all
start_load back --requests 100 --seed 73 --rate 100 --only-model $load_switches
expect_successful_load back
served=$(load_number back engine-1)
[ "${served:-0}" -gt 0 ] || fail "engine-1 served nothing after its failure domain came back."
stop_fleet
