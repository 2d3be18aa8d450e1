#pragma once

#include <chrono>

#include "chestnuthead/clock.h"
#include "chestnuthead/router_core.h"

#include "Router/request_table.h"
#include "Router/router_state.h"

/// Probes agents before an attempt is sent: which agent holds the prefix of a
/// returning chat, and which of the best choices has the lowest load.
namespace chestnuthead::routing {

/// How long a request waits for probe answers; checked on ticks.
inline constexpr std::chrono::milliseconds probe_timeout{50};

/// Probes the best choices except `excluded` for the chat's prefix: that agent has
/// just reported that it does not hold it. Continues with an attempt if no
/// agent is left to probe.
void probe_for_holder(router_state& state, request_row& row, const node_id& excluded,
                      steady_time now, router_actions& actions);

/// Probes the best choices for their loads; false if there are fewer than two.
bool compare_loads(router_state& state, request_row& row, steady_time now, router_actions& actions);

void handle_probe_answer(router_state& state, const probe_answered& event, steady_time now,
                         router_actions& actions);

/// The link to the agent is lost: stops waiting for its probe answers.
void drop_awaited_probes(router_state& state, const node_id& agent, steady_time now,
                         router_actions& actions);

/// Ends the round of probes and sends the request to the best agent found, or
/// to the first choice if there is none.
void end_probes(router_state& state, request_row& row, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
