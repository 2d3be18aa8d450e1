#pragma once

#include "chestnuthead/clock.h"
#include "chestnuthead/router_core.h"

#include "Router/router_state.h"

/// Follows attempts: taken, refused, ended or lost.
namespace chestnuthead::routing {

/// How long an agent may take to say whether it takes an attempt.
inline constexpr std::chrono::milliseconds accept_timeout{1'000};
/// The same where the agent first has to claim a key in the table.
inline constexpr std::chrono::milliseconds claim_timeout{3'000};

void take_accepted(router_state& state, const attempt_accepted& event, steady_time now);

void take_refused(router_state& state, const attempt_refused& event, steady_time now,
                  router_actions& actions);

void take_ended(router_state& state, const attempt_ended& event, steady_time now,
                router_actions& actions);

/// The agent has not answered: its attempt is cancelled and counts as lost.
void take_silence(router_state& state, request_row& row, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
