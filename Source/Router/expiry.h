#pragma once

#include "chestnuthead/clock.h"

#include "Router/router_state.h"

/// What time alone brings about: deadlines, silent agents, and waits.
namespace chestnuthead::routing {

void tick_requests(router_state& state, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
