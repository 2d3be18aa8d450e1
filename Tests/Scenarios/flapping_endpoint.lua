-- The network of one endpoint fails and recovers repeatedly, while its cache is kept.
fleet{ routers = 2, endpoints = 6, chats = 150, seed = 16 }
run(60)
for round = 1, 10 do
  cut(1)
  run(4)
  mend(1)
  run(8)
end
expect("nearly all requests are answered", figure("failed") <= 0.01 * figure("answered"))
expect("chats reuse most of their cached prefix tokens", figure("reuse") > 0.8)
expect("no invariant was violated", figure("broken_invariants") == 0)
