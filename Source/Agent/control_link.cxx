#include "Agent/control_link.h"

#include "Agent/admission.h"

namespace chestnuthead {

namespace {

void apply(agent_state& state, const control_output& output) {
  for (const broken_invariant& fault : output.broken) {
    state.actions.emplace_back(agent_invariant_broken{fault.name, fault.detail});
  }
  for (const outgoing_gossip& message : output.messages) {
    state.actions.emplace_back(agent_send_gossip{message.to, message.address, message.message});
  }
  for (const table_call& ask : output.table_calls) {
    state.actions.emplace_back(agent_submit_table{ask.ticket, ask.request});
  }
  if (output.read_vm_list) {
    state.actions.emplace_back(agent_read_vm_list{});
  }
}

}  // namespace

void handle_control_table_reply(agent_state& state, const agent_table_replied& event,
                                steady_time now) {
  apply(state, handle_table_reply(*state.control, event.ticket, event.reply, now));
  clamp_limit(state.warm, own_pool(state));
}

void handle_vm_list_reply(agent_state& state, const vm_list_reply& reply, steady_time now) {
  apply(state, handle_vm_list(*state.control, reply, now));
}

void handle_gossip_message(agent_state& state, const gossip_message& message, steady_time now) {
  apply(state, handle_gossip(*state.control, message, now));
  clamp_limit(state.warm, own_pool(state));
}

void merge_refused_loads(agent_state& state, const attempt_offered& offer, steady_time now) {
  if (offer.terms.refused_loads.empty()) {
    return;
  }
  gossip_message message;
  message.from = offer.router;
  message.configuration_version = configuration_of(state).version;
  message.loads = offer.terms.refused_loads;
  apply(state, handle_gossip(*state.control, message, now));
  refresh_pool(state, now);
}

void refresh_pool(agent_state& state, steady_time now) {
  update_pool_view(state.pool, *state.control, state.settings.pool, in_flight(state),
                   load_limit(state), now);
}

void tick_control(agent_state& state, steady_time now) {
  refresh_pool(state, now);
  apply(state, control_tick(*state.control, now));
}

}  // namespace chestnuthead
