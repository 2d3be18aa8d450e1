#pragma once

#include "chestnuthead/clock.h"

#include "Router/placement.h"
#include "Router/request_table.h"
#include "Router/router_state.h"

/// Chooses where a request goes next and sends it there.
namespace chestnuthead::routing {

/// Takes the next step of a request that has no attempt out: an attempt, or
/// giving up. The row may be gone afterwards.
void advance(router_state& state, request_row& row, steady_time now, router_actions& actions);

/// Sends the request to one member.
void send_to(router_state& state, request_row& row, const pool_member& target,
             bool only_if_resident, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
