-- A failure domain is taken out of service under load and brought back.
fleet{ routers = 3, endpoints = 8, domains = 4, chats = 300, seed = 11 }
run(60)
take_out(0)
run(3)
mark("out")
run(60)
expect("no request starts in the failure domain 3 s after it was taken out",
       begun_after("out", 0) == 0)
bring_back(0)
mark("back")
run(60)
expect("the failure domain serves requests again", begun_after("back", 0) == 2)
expect("no request failed", figure("failed") == 0)
expect("chats reuse most of their cached prefix tokens", figure("reuse") > 0.8)
expect("no invariant was violated", figure("broken_invariants") == 0)
