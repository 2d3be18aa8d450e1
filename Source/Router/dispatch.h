#pragma once

#include "chestnuthead/clock.h"

#include "Router/placement.h"
#include "Router/request_table.h"
#include "Router/router_state.h"

/// Chooses the next agent for a request and sends an attempt to it.
namespace chestnuthead::routing {

/// Sends the next attempt or probe of a request without a current attempt, or
/// gives the request up. The row may be erased afterwards.
void advance(router_state& state, request_row& row, steady_time now, router_actions& actions);

/// Sends an attempt of the request to one member.
void send_to(router_state& state, request_row& row, const pool_member& target,
             bool only_if_resident, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
