#pragma once

#include "chestnuthead/clock.h"
#include "chestnuthead/router_core.h"

#include "Router/router_state.h"

/// Takes in requests and checks what is said of them.
namespace chestnuthead::routing {

void take_request(router_state& state, const request_arrived& event, steady_time now,
                  router_actions& actions);

void take_caller_left(router_state& state, const caller_left& event, router_actions& actions);

}  // namespace chestnuthead::routing
