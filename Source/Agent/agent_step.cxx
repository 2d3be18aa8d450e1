#include <utility>

#include "Agent/agent_state.h"
#include "Agent/attempt_flow.h"

namespace chestnuthead {

namespace {

void take(agent_state& state, const attempt_offered& event, steady_time now) {
  take_offer(state, event, now);
}

void take(agent_state& state, const attempt_withdrawn& event, steady_time now) {
  take_withdrawal(state, event.attempt, now);
}

void take(agent_state& state, const endpoint_first_byte& event, steady_time now) {
  take_first_byte(state, event.attempt, now);
}

void take(agent_state& state, const endpoint_finished& event, steady_time now) {
  take_finish(state, event, now);
}

void take(agent_state& state, const endpoint_failed& event, steady_time now) {
  take_failure(state, event, now);
}

void take(agent_state& state, const endpoint_ready& /*event*/, steady_time /*now*/) {
  state.endpoint_up = true;
}

void take(agent_state& /*state*/, const endpoint_load& /*event*/, steady_time /*now*/) {}

void take(agent_state& state, const probe_asked& event, steady_time now) {
  state.actions.emplace_back(
      answer_probe{event.request, event.router, report_load(state, event.chat, now)});
}

void take(agent_state& /*state*/, const agent_table_replied& /*event*/, steady_time /*now*/) {}

void take(agent_state& /*state*/, const agent_vm_list_replied& /*event*/, steady_time /*now*/) {}

void take(agent_state& /*state*/, const agent_gossip_received& /*event*/, steady_time /*now*/) {}

void take(agent_state& state, const agent_stop_requested& /*event*/, steady_time /*now*/) {
  state.stopping = true;
}

void take(agent_state& state, const agent_tick& /*event*/, steady_time now) {
  end_expired(state, now);
  forget_old_attempts(state.attempts, now);
}

void tell_ready(agent_state& state) {
  const bool ready = state.endpoint_up && !state.stopping;
  if (ready != state.ready_told) {
    state.ready_told = ready;
    state.actions.emplace_back(agent_set_ready{ready});
  }
}

void finish_stop(agent_state& state) {
  if (state.stopping && !state.stop_told && state.attempts.rows.empty()) {
    state.stop_told = true;
    state.actions.emplace_back(agent_stop_now{});
  }
}

}  // namespace

std::vector<agent_action> step(agent_state& state, const agent_event& event, steady_time now) {
  state.actions.clear();
  std::visit([&state, now](const auto& what) { take(state, what, now); }, event);
  start_waiting(state, now);
  tell_ready(state);
  finish_stop(state);
  return std::exchange(state.actions, {});
}

}  // namespace chestnuthead
