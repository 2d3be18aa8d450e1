-- Every change is applied on all routers and agents within 5 s, and restarts keep it.
fleet{ routers = 4, endpoints = 12, chats = 10, seed = 17 }
run(10)
for round = 1, 5 do
  local before = figure("lowest_version")
  take_out(round % 4)
  run(5)
  expect("change " .. round .. " is applied everywhere after 5 s", figure("lowest_version") > before)
  kill_router(round % 4)
  kill_agent(round)
  run(5)
  expect("a restart does not return to an older configuration", figure("lowest_version") > before)
  bring_back(round % 4)
  run(5)
end
expect("no invariant was violated", figure("broken_invariants") == 0)
