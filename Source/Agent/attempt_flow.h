#pragma once

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// The way of an attempt through the agent: offered, admitted or refused,
/// withdrawn, expired.
namespace chestnuthead {

/// How long a cancelled attempt counts as load if the endpoint's exchange is
/// not reported closed.
inline constexpr std::chrono::seconds cancel_wait{5};

void take_offer(agent_state& state, const attempt_offered& offer, steady_time now);
void take_withdrawal(agent_state& state, const attempt_id& attempt, steady_time now);

/// Ends attempts whose time is up.
void end_expired(agent_state& state, steady_time now);

}  // namespace chestnuthead
