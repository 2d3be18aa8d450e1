#pragma once

#include "chestnuthead/clock.h"

#include "Router/router_state.h"

/// Handles timeouts: deadlines, attempts without a reply, probes, and the delay
/// before a retry.
namespace chestnuthead::routing {

void tick_requests(router_state& state, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
