#pragma once

#include <vector>

#include "chestnuthead/clock.h"

#include "Router/placement.h"
#include "Router/request_table.h"
#include "Router/router_state.h"

/// Selects members of a request's pool. Members that are out of service or were
/// tried before are never selected.
namespace chestnuthead::routing {

/// True if the member may receive new attempts at all.
bool accepts_new_work(const router_state& state, const pool_member& member, steady_time now);

/// The first `count` untried members in the request's order of preference.
/// Members with failing links are considered only if there are no others.
std::vector<const pool_member*> best_untried(const router_state& state, const request_row& row,
                                             std::size_t count, steady_time now);

/// The untried member for the next attempt, or nullptr.
const pool_member* next_choice(router_state& state, const request_row& row, steady_time now);

/// The untried member with the lowest reported load and free capacity, or
/// nullptr.
const pool_member* least_loaded(const router_state& state, const request_row& row, steady_time now);

/// The member that accepted the chat's last request through this router, or
/// nullptr.
const pool_member* cached_holder(const router_state& state, const request_row& row,
                                 steady_time now);

}  // namespace chestnuthead::routing
