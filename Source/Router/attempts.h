#pragma once

#include "chestnuthead/clock.h"
#include "chestnuthead/router_core.h"

#include "Router/router_state.h"

/// Handles the agents' replies to attempts: accepted, refused, ended or lost.
namespace chestnuthead::routing {

/// Time within which an agent must accept or refuse an attempt.
inline constexpr std::chrono::milliseconds accept_timeout{1'000};
/// The same for a call whose agent must first claim its key in the table.
inline constexpr std::chrono::milliseconds claim_timeout{3'000};

void handle_accepted(router_state& state, const attempt_accepted& event, steady_time now);

void handle_refused(router_state& state, const attempt_refused& event, steady_time now,
                    router_actions& actions);

void handle_ended(router_state& state, const attempt_ended& event, steady_time now,
                  router_actions& actions);

/// The agent did not accept or refuse in time: cancels the attempt and counts
/// it as lost.
void handle_accept_timeout(router_state& state, request_row& row, steady_time now,
                           router_actions& actions);

}  // namespace chestnuthead::routing
