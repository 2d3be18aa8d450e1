#pragma once

#include "chestnuthead/clock.h"
#include "chestnuthead/router_core.h"

#include "Router/router_state.h"

/// Validates new requests and handles callers that disconnect.
namespace chestnuthead::routing {

void handle_request_arrived(router_state& state, const request_arrived& event, steady_time now,
                            router_actions& actions);

void handle_caller_left(router_state& state, const caller_left& event, router_actions& actions);

}  // namespace chestnuthead::routing
