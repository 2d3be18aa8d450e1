#pragma once

#include <chrono>

#include "chestnuthead/clock.h"

#include "Router/router_state.h"

/// Readiness and planned stop of the router.
namespace chestnuthead::routing {

/// How long a stopping router still accepts new requests, since the load
/// balancer notices the stop with a delay.
inline constexpr std::chrono::milliseconds drain_grace{3'000};

/// True if new requests are rejected with `stopping`.
bool refuses_new_work(const router_state& state, steady_time now);

/// Begins the planned stop: reports not ready first, then announces the stop to
/// the peers.
void begin_stop(router_state& state, steady_time now, router_actions& actions);

/// Reports a change of readiness, and the end of a planned stop. A router that
/// the platform's list shows as leaving begins its stop without a request.
void update_service(router_state& state, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
