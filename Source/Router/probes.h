#pragma once

#include <chrono>

#include "chestnuthead/clock.h"
#include "chestnuthead/router_core.h"

#include "Router/request_table.h"
#include "Router/router_state.h"

/// Questions before an attempt: who holds a returning chat's prefix, and who of
/// the best choices bears least.
namespace chestnuthead::routing {

/// How long a request waits for answers; checked on ticks.
inline constexpr std::chrono::milliseconds probe_patience{50};

/// Asks the best choices but `asked`, which has just said that it holds
/// nothing, for the chat's prefix. Goes on at once if there is nobody to ask.
void seek_holder(router_state& state, request_row& row, const node_id& asked, steady_time now,
                 router_actions& actions);

/// Asks the best choices for their loads; false if there are fewer than two.
bool compare_loads(router_state& state, request_row& row, steady_time now, router_actions& actions);

void take_probe_answer(router_state& state, const probe_answered& event, steady_time now,
                       router_actions& actions);

/// The agent can't answer any more.
void drop_awaited(router_state& state, const node_id& agent, steady_time now,
                  router_actions& actions);

/// Sends the request to the agent that was found, or to the first choice.
void end_probes(router_state& state, request_row& row, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
