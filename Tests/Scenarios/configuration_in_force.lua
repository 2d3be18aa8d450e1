-- Changes are in force everywhere within 5 s, and not lost by restarts.
fleet{ routers = 4, endpoints = 12, chats = 10, seed = 17 }
run(10)
for round = 1, 5 do
  local before = figure("lowest_version")
  take_out(round % 4)
  run(5)
  expect("change " .. round .. " is in force after 5 s", figure("lowest_version") > before)
  kill_router(round % 4)
  kill_agent(round)
  run(5)
  expect("restarts do not step back", figure("lowest_version") > before)
  bring_back(round % 4)
  run(5)
end
expect("no invariant broke", figure("broken_invariants") == 0)
