#pragma once

#include <chrono>

#include "chestnuthead/clock.h"
#include "chestnuthead/router_core.h"

#include "Router/request_table.h"
#include "Router/router_state.h"

/// Before a chat's prefix is computed again, the next choices are asked
/// whether they hold it.
namespace chestnuthead::routing {

/// How long a request waits for answers; checked on ticks.
inline constexpr std::chrono::milliseconds probe_patience{50};

/// Asks the best choices but `asked`, which has just said that it holds
/// nothing. Goes on at once if there is nobody to ask.
void start_probes(router_state& state, request_row& row, const node_id& asked, steady_time now,
                  router_actions& actions);

void take_probe_answer(router_state& state, const probe_answered& event, steady_time now,
                       router_actions& actions);

/// The agent can't answer any more.
void drop_awaited(router_state& state, const node_id& agent, steady_time now,
                  router_actions& actions);

/// Sends the request to the holder that was found, or to the first choice.
void end_probes(router_state& state, request_row& row, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
