#include "Agent/attempt_audit.h"

#include "Agent/attempt_table.h"

namespace chestnuthead {

namespace {

/// State of one check: the histories and the violations found so far.
struct audit_run {
  attempt_audit& audit;
  std::vector<agent_invariant_broken>& faults;
  steady_time now;
};

attempt_history& history_of(audit_run& run, const attempt_id& attempt) {
  attempt_history& history = run.audit.attempts[attempt];
  history.last_change = run.now;
  return history;
}

void expect(audit_run& run, bool holds, const char* name, const attempt_id& attempt) {
  if (!holds) {
    run.faults.push_back(agent_invariant_broken{name, attempt.value});
  }
}

void check(audit_run& run, const accept_attempt& action) {
  attempt_history& history = history_of(run, action.attempt);
  expect(run, !history.accepted && !history.refused, "attempt_answered_twice", action.attempt);
  history.accepted = true;
}

void check(audit_run& run, const refuse_attempt& action) {
  attempt_history& history = history_of(run, action.attempt);
  expect(run, !history.accepted && !history.refused, "attempt_answered_twice", action.attempt);
  expect(run, !history.ran, "refused_attempt_ran", action.attempt);
  history.refused = true;
}

void check(audit_run& run, const run_on_endpoint& action) {
  attempt_history& history = history_of(run, action.attempt);
  expect(run, history.accepted, "run_before_acceptance", action.attempt);
  expect(run, !history.refused, "refused_attempt_ran", action.attempt);
  expect(run, !history.ran && !history.ended, "attempt_ran_twice", action.attempt);
  expect(run, !history.at_most_once || history.granted, "run_without_claim", action.attempt);
  history.ran = true;
}

void note_end(audit_run& run, attempt_history& history, const attempt_id& attempt) {
  expect(run, history.accepted, "ended_before_acceptance", attempt);
  expect(run, !history.ended, "attempt_ended_twice", attempt);
  history.ended = true;
}

void check(audit_run& run, const end_attempt& action) {
  attempt_history& history = history_of(run, action.attempt);
  note_end(run, history, action.attempt);
  if (action.outcome != attempt_outcome::complete) {
    return;
  }
  expect(run, history.ran, "complete_without_run", action.attempt);
  expect(run, !history.at_most_once || history.result_settled, "ended_before_result_settled",
         action.attempt);
}

void check(audit_run& run, const answer_from_ledger& action) {
  attempt_history& history = history_of(run, action.attempt);
  note_end(run, history, action.attempt);
  expect(run, !history.ran, "stored_answer_after_run", action.attempt);
}

template <class Action>
void check(audit_run& /*run*/, const Action& /*action*/) {
  // Other actions don't change the state of an attempt.
}

}  // namespace

void note_offered(attempt_audit& audit, const attempt_offered& offer, steady_time now) {
  attempt_history& history = audit.attempts[offer.attempt];
  history.at_most_once = offer.facts.rule == execution_rule::at_most_once;
  history.last_change = now;
}

void note_granted(attempt_audit& audit, const attempt_id& attempt, steady_time now) {
  audit.attempts[attempt].granted = true;
  audit.attempts[attempt].last_change = now;
}

void note_settled(attempt_audit& audit, const attempt_id& attempt, steady_time now) {
  audit.attempts[attempt].result_settled = true;
  audit.attempts[attempt].last_change = now;
}

std::vector<agent_invariant_broken> check_actions(attempt_audit& audit,
                                                  const std::vector<agent_action>& actions,
                                                  steady_time now) {
  std::vector<agent_invariant_broken> faults;
  audit_run run{audit, faults, now};
  for (const agent_action& action : actions) {
    std::visit([&run](const auto& what) { check(run, what); }, action);
  }
  return faults;
}

void expire_histories(attempt_audit& audit, steady_time now) {
  std::erase_if(audit.attempts, [now](const auto& entry) {
    const attempt_history& history = entry.second;
    const bool open = history.accepted && !history.ended;
    return !open && now - history.last_change > attempt_id_retention;
  });
}

}  // namespace chestnuthead
