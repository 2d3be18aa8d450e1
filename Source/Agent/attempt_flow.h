#pragma once

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// The way of an attempt through the agent: offered, admitted or refused, run,
/// ended.
namespace chestnuthead {

void take_offer(agent_state& state, const attempt_offered& offer, steady_time now);
void take_withdrawal(agent_state& state, const attempt_id& attempt, steady_time now);
void take_first_byte(agent_state& state, const attempt_id& attempt, steady_time now);
void take_finish(agent_state& state, const endpoint_finished& event, steady_time now);
void take_failure(agent_state& state, const endpoint_failed& event, steady_time now);

/// Gives waiting attempts to the endpoint while it has free slots.
void start_waiting(agent_state& state, steady_time now);

/// Ends attempts whose time is up.
void end_expired(agent_state& state, steady_time now);

}  // namespace chestnuthead
