#pragma once

#include <chrono>

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// The way of an attempt through the agent: offered, admitted or refused,
/// withdrawn, expired.
namespace chestnuthead {

/// How long a cancelled attempt counts as load if the endpoint's exchange is
/// not reported closed.
inline constexpr std::chrono::seconds cancel_wait{5};

/// How long an at-most-once call waits for a slot before its claim is asked
/// for. Its router hears nothing until the claim stands, so this is short.
inline constexpr std::chrono::milliseconds call_queue_wait{750};

void take_offer(agent_state& state, const attempt_offered& offer, steady_time now);
void take_withdrawal(agent_state& state, const attempt_id& attempt, steady_time now);

/// Ends attempts whose time is up.
void end_expired(agent_state& state, steady_time now);

}  // namespace chestnuthead
