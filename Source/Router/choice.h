#pragma once

#include <vector>

#include "chestnuthead/clock.h"

#include "Router/placement.h"
#include "Router/request_table.h"
#include "Router/router_state.h"

/// Choices among the members of a request's pool. Members that are out of
/// service or were tried before are never among them.
namespace chestnuthead::routing {

/// True if the member may be given new work at all.
bool takes_work(const router_state& state, const pool_member& member, steady_time now);

/// The best untried members in the request's order of preference, `count` at
/// most. Members with failing links come into it only if there is no other.
std::vector<const pool_member*> best_untried(const router_state& state, const request_row& row,
                                             std::size_t count, steady_time now);

/// The untried member for the next attempt, or nullptr.
const pool_member* next_choice(router_state& state, const request_row& row, steady_time now);

/// The untried member with the lowest known load and room, or nullptr.
const pool_member* least_loaded(const router_state& state, const request_row& row, steady_time now);

/// The member that took the chat's last turn through this router, or nullptr.
const pool_member* remembered_holder(const router_state& state, const request_row& row,
                                     steady_time now);

}  // namespace chestnuthead::routing
