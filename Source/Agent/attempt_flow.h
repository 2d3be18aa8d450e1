#pragma once

#include <chrono>

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// The life cycle of an attempt in the agent: offer, admission or refusal,
/// withdrawal, expiry.
namespace chestnuthead {

/// How long a cancelled attempt counts as load if the endpoint's exchange is never
/// reported as closed.
inline constexpr std::chrono::seconds cancel_wait{5};

/// How long an at-most-once call may wait for a slot before its claim is requested.
/// Its router gets no reply until the claim is granted, so this is short.
inline constexpr std::chrono::milliseconds call_queue_wait{750};

void handle_offer(agent_state& state, const attempt_offered& offer, steady_time now);
void handle_withdrawal(agent_state& state, const attempt_id& attempt, steady_time now);

/// Ends attempts whose deadline has passed.
void end_expired(agent_state& state, steady_time now);

}  // namespace chestnuthead
