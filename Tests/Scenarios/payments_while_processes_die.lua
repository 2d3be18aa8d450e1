-- Routers are killed, and agents are killed, frozen and disconnected, while payments are made.
fleet{ routers = 3, endpoints = 2, services = 6, chats = 1, payments = 10, seed = 13 }
run(10)
pay(120)
for round = 1, 12 do
  run(3)
  kill_agent(2 + round % 6)
  run(2)
  kill_router(round % 3)
  run(2)
  freeze(2 + (round + 3) % 6, 4)
  run(1)
  cut(2 + (round + 1) % 6)
  run(2)
  mend(2 + (round + 1) % 6)
end
run(90)
expect("payments were made", figure("payments") > 900)
expect("no payment ran twice", figure("duplicates") == 0)
expect("no payment ran that was answered \"not run\"", figure("false_not_run") == 0)
expect("every answered payment was executed", figure("answered_without_execution") == 0)
expect("every caller has an outcome", figure("payments_open") == 0)
expect("no invariant was violated", figure("broken_invariants") == 0)
