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

void handle(agent_state& state, const attempt_offered& event, steady_time now) {
  handle_offer(state, event, now);
}

void handle(agent_state& state, const attempt_withdrawn& event, steady_time now) {
  handle_withdrawal(state, event.attempt, now);
}

void handle(agent_state& state, const endpoint_first_byte& event, steady_time now) {
  handle_first_byte(state, event.attempt, now);
}

void handle(agent_state& state, const endpoint_finished& event, steady_time now) {
  handle_finish(state, event, now);
}

void handle(agent_state& state, const endpoint_failed& event, steady_time now) {
  handle_failure(state, event, now);
}

void handle(agent_state& state, const endpoint_ready& event, steady_time now) {
  handle_ready(state, event, now);
}

// Ignored: the endpoint's report lags, so the agent counts the attempts it has
// admitted.
void handle(agent_state& /*state*/, const endpoint_load& /*event*/, steady_time /*now*/) {}

void handle(agent_state& state, const probe_asked& event, steady_time /*now*/) {
  state.actions.emplace_back(
      answer_probe{event.request, event.router, report_load(state, event.chat)});
}

void handle(agent_state& state, const agent_table_replied& event, steady_time now) {
  if ((event.ticket & control_ticket_bit) != 0) {
    handle_control_table_reply(state, event, now);
  } else {
    handle_ledger_table_reply(state, event, now);
  }
}

void handle(agent_state& state, const agent_vm_list_replied& event, steady_time now) {
  handle_vm_list_reply(state, event.reply, now);
}

void handle(agent_state& state, const agent_gossip_received& event, steady_time now) {
  handle_gossip_message(state, event.message, now);
}

void handle(agent_state& state, const agent_stop_requested& /*event*/, steady_time now) {
  begin_stop(state, now);
}

void handle(agent_state& state, const agent_tick& /*event*/, steady_time now) {
  tick_control(state, now);
  tick_ledger(state, now);
  end_crashed(state, now);
  end_expired(state, now);
  expire_attempt_ids(state.attempts, now);
  expire_histories(state.audit, now);
  expire_suspects(state.suspects, now);
}

void check_ledger(agent_state& state) {
  const std::uint64_t overtaken = claims_overtaken(*state.ledger);
  if (overtaken > state.reported_claims_overtaken) {
    state.reported_claims_overtaken = overtaken;
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
  std::visit([&state, now](const auto& what) { handle(state, what, now); }, event);
  start_waiting(state, now);
  report_readiness(state, now);
  finish_stop(state, now);
  audit_step(state, now);
  return std::exchange(state.actions, {});
}

}  // namespace chestnuthead
