#pragma once

#include <chrono>

#include "chestnuthead/clock.h"

#include "Router/router_state.h"

/// Readiness and the planned stop.
namespace chestnuthead::routing {

/// How long a stopping router still serves what the balancer sends it, since
/// the balancer learns of the stop with a lag.
inline constexpr std::chrono::milliseconds drain_grace{3'000};

/// True if new requests are answered with `stopping`.
bool refuses_new_work(const router_state& state, steady_time now);

/// Begins the planned stop: not ready first, then the news to the peers.
void begin_stop(router_state& state, steady_time now, router_actions& actions);

/// Reports a change of readiness, and the end of a planned stop. A router that
/// the platform's list shows as leaving begins its stop by itself.
void update_service(router_state& state, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
