#pragma once

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// Passes events from the agent to its control plane, and the control plane's
/// output to the agent's actions.
namespace chestnuthead {

void handle_control_table_reply(agent_state& state, const agent_table_replied& event,
                                steady_time now);
void handle_vm_list_reply(agent_state& state, const vm_list_reply& reply, steady_time now);
void handle_gossip_message(agent_state& state, const gossip_message& message, steady_time now);
/// Merges the loads of other endpoints that refused the request before, as carried
/// by an offer.
void merge_refused_loads(agent_state& state, const attempt_offered& offer, steady_time now);

/// Recomputes the pool's mean load.
void refresh_pool(agent_state& state, steady_time now);

void tick_control(agent_state& state, steady_time now);

}  // namespace chestnuthead
