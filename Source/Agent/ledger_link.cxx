#include "Agent/ledger_link.h"

#include "Agent/attempt_answers.h"

namespace chestnuthead {

namespace {

void handle(agent_state& state, const claim_granted& decision, steady_time now) {
  note_granted(state.audit, decision.attempt, now);
  attempt_row* row = find_attempt(state.attempts, decision.attempt);
  if (row == nullptr) {
    release_claim(state, decision.attempt, now);
    return;
  }
  row->phase = attempt_phase::granted;
}

void handle(agent_state& state, const claim_refused& decision, steady_time /*now*/) {
  const attempt_row* row = find_attempt(state.attempts, decision.attempt);
  if (row != nullptr) {
    refuse(state, row->offer, decision.why, std::chrono::milliseconds{0});
  }
}

// The router is notified of the acceptance and then immediately of the end.
void handle(agent_state& state, const claim_has_answer& decision, steady_time /*now*/) {
  attempt_row* row = find_attempt(state.attempts, decision.attempt);
  if (row != nullptr) {
    accept(state, *row);
    answer_stored(state, decision.attempt, decision.stored_answer);
  }
}

void handle(agent_state& state, const claim_outcome_unknown& decision, steady_time /*now*/) {
  attempt_row* row = find_attempt(state.attempts, decision.attempt);
  if (row != nullptr) {
    accept(state, *row);
    end(state, decision.attempt, attempt_outcome::outcome_unknown);
  }
}

void handle(agent_state& state, const result_settled& decision, steady_time now) {
  note_settled(state.audit, decision.attempt, now);
  if (find_attempt(state.attempts, decision.attempt) != nullptr) {
    end(state, decision.attempt, attempt_outcome::complete);
  }
}

void apply(agent_state& state, const ledger_output& output, steady_time now) {
  for (const table_call& ask : output.table_calls) {
    state.actions.emplace_back(agent_submit_table{ask.ticket, ask.request});
  }
  for (const ledger_decision& decision : output.decisions) {
    std::visit([&state, now](const auto& what) { handle(state, what, now); }, decision);
  }
}

}  // namespace

void begin_claim(agent_state& state, attempt_row& row, steady_time now) {
  row.phase = attempt_phase::claiming;
  claim_request request;
  request.request = row.offer.facts.request;
  request.attempt = row.offer.attempt;
  request.key = row.offer.facts.key;
  request.pool = row.offer.facts.pool;
  request.fingerprint = row.offer.facts.fingerprint;
  request.deadline = row.deadline;
  record_attempt(state, row.offer, "claim_asked");
  if (!state.switches.wait_for_claim) {
    row.phase = attempt_phase::granted;
  }
  apply(state, claim(*state.ledger, request, now), now);
}

void withdraw_claim(agent_state& state, const attempt_id& attempt, steady_time now) {
  apply(state, withdraw(*state.ledger, attempt, now), now);
}

void release_claim(agent_state& state, const attempt_id& attempt, steady_time now) {
  apply(state, release(*state.ledger, attempt, now), now);
}

void abandon_claim(agent_state& state, const attempt_id& attempt, steady_time now) {
  apply(state, abandon(*state.ledger, attempt, now), now);
}

void begin_recording(agent_state& state, attempt_row& row, const std::string& answer,
                     steady_time now) {
  row.phase = attempt_phase::recording;
  const attempt_id attempt = row.offer.attempt;
  record_attempt(state, row.offer, "result_recording");
  apply(state, record_result(*state.ledger, attempt, answer, now), now);
}

void handle_ledger_table_reply(agent_state& state, const agent_table_replied& event,
                               steady_time now) {
  apply(state, apply_ledger_reply(*state.ledger, event.ticket, event.reply, now), now);
}

void tick_ledger(agent_state& state, steady_time now) {
  apply(state, ledger_tick(*state.ledger, now), now);
}

}  // namespace chestnuthead
