#pragma once

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// The agent's side of the control plane: events in, what it wants sent out.
namespace chestnuthead {

void take_control_table_reply(agent_state& state, const agent_table_replied& event,
                              steady_time now);
void take_vm_list_reply(agent_state& state, const vm_list_reply& reply, steady_time now);
void take_gossip_message(agent_state& state, const gossip_message& message, steady_time now);
/// Takes in the loads that an offer brought along from other endpoints.
void take_refused_loads(agent_state& state, const attempt_offered& offer, steady_time now);

/// Works out the pool's mean load anew.
void refresh_pool(agent_state& state, steady_time now);

void tick_control(agent_state& state, steady_time now);

}  // namespace chestnuthead
