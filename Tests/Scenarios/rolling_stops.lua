-- The VM of each endpoint is replaced in turn after a planned stop.
fleet{ routers = 2, endpoints = 6, domains = 3, chats = 150, seed = 15 }
run(60)
for endpoint = 0, 5 do
  stop(endpoint)
  run(60)
end
expect("no request failed", figure("failed") == 0)
expect("no cold engine crashed under load", figure("crashes") == 0)
expect("no invariant was violated", figure("broken_invariants") == 0)
