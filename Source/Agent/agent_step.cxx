#include <string>
#include <utility>

#include "Agent/admission.h"
#include "Agent/agent_state.h"
#include "Agent/attempt_answers.h"
#include "Agent/attempt_flow.h"
#include "Agent/attempt_start.h"
#include "Agent/control_link.h"
#include "Agent/endpoint_events.h"
#include "Agent/ledger_link.h"
#include "Agent/planned_stop.h"

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

void take(agent_state& state, const endpoint_ready& event, steady_time now) {
  take_ready(state, event, now);
}

// The agent counts what it has admitted itself; the endpoint's report lags.
void take(agent_state& /*state*/, const endpoint_load& /*event*/, steady_time /*now*/) {}

void take(agent_state& state, const probe_asked& event, steady_time /*now*/) {
  state.actions.emplace_back(
      answer_probe{event.request, event.router, report_load(state, event.chat)});
}

void take(agent_state& state, const agent_table_replied& event, steady_time now) {
  if ((event.ticket & control_ticket_bit) != 0) {
    take_control_table_reply(state, event, now);
  } else {
    take_ledger_table_reply(state, event, now);
  }
}

void take(agent_state& state, const agent_vm_list_replied& event, steady_time now) {
  take_vm_list_reply(state, event.reply, now);
}

void take(agent_state& state, const agent_gossip_received& event, steady_time now) {
  take_gossip_message(state, event.message, now);
}

void take(agent_state& state, const agent_stop_requested& /*event*/, steady_time now) {
  begin_stop(state, now);
}

void take(agent_state& state, const agent_tick& /*event*/, steady_time now) {
  tick_control(state, now);
  tick_ledger(state, now);
  end_crashed(state, now);
  end_expired(state, now);
  forget_old_attempts(state.attempts, now);
  forget_old_histories(state.audit, now);
  forget_old_suspects(state.suspects, now);
}

void check_ledger(agent_state& state) {
  const std::uint64_t overtaken = claims_overtaken(*state.book);
  if (overtaken > state.claims_overtaken_told) {
    state.claims_overtaken_told = overtaken;
    state.actions.emplace_back(
        agent_invariant_broken{"claim_overtaken", std::to_string(overtaken) + " in all"});
  }
}

void audit_step(agent_state& state, steady_time now) {
  check_ledger(state);
  for (agent_invariant_broken& fault : check_actions(state.audit, state.actions, now)) {
    state.actions.emplace_back(std::move(fault));
  }
  for (const agent_action& action : state.actions) {
    state.invariants_broken += std::holds_alternative<agent_invariant_broken>(action) ? 1U : 0U;
  }
}

}  // namespace

std::vector<agent_action> step(agent_state& state, const agent_event& event, steady_time now) {
  state.actions.clear();
  if (now - state.pool.measured_at >= agent_tick_interval) {
    refresh_pool(state, now);
  }
  std::visit([&state, now](const auto& what) { take(state, what, now); }, event);
  start_waiting(state, now);
  tell_ready(state, now);
  finish_stop(state, now);
  audit_step(state, now);
  return std::exchange(state.actions, {});
}

}  // namespace chestnuthead
