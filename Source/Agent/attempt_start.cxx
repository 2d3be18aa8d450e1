#include "Agent/attempt_start.h"

#include "Agent/attempt_answers.h"
#include "Agent/ledger_link.h"
#include "Agent/suspect_isolation.h"
#include "Agent/wait_queue.h"

namespace chestnuthead {

namespace {

bool has_free_slot(const agent_state& state) {
  return state.endpoint_up && slots_held(state.attempts) < own_pool(state).concurrency;
}

void run(agent_state& state, attempt_row& row, steady_time now) {
  row.phase = attempt_phase::running;
  row.started_at = now;
  if (!row.accepted) {
    accept(state, row);
  }
  record_attempt(state, row.offer, "attempt_running");
  state.actions.emplace_back(run_on_endpoint{row.offer.attempt, 0});
  if (slots_held(state.attempts) > own_pool(state).concurrency) {
    state.actions.emplace_back(
        agent_invariant_broken{"running_above_concurrency", row.offer.attempt.value});
  }
}

void return_attempt(agent_state& state, const attempt_row& row, refusal_kind why, steady_time now) {
  const attempt_id attempt = row.offer.attempt;
  refuse(state, row.offer, why, std::chrono::milliseconds{0});
  release_claim(state, attempt, now);
}

// The process may have been paused since the claim was granted, so the deadline is
// checked again.
void start_granted(agent_state& state, steady_time now) {
  for (const attempt_id& attempt : attempts_in(state.attempts, attempt_phase::granted)) {
    attempt_row& row = *find_attempt(state.attempts, attempt);
    if (row.deadline <= now) {
      return_attempt(state, row, refusal_kind::deadline, now);
    } else if (!state.endpoint_up) {
      return_attempt(state, row, refusal_kind::not_ready, now);
    } else if (has_free_slot(state)) {
      run(state, row, now);
    }
  }
}

std::optional<attempt_id> next_allowed(const agent_state& state, steady_time now) {
  const bool delay_suspects = state.switches.isolate_suspects && suspect_is_running(state, now);
  const auto may_start = [&state, delay_suspects, now](const attempt_row& row) {
    return !delay_suspects || !is_suspect(state, row.offer.facts.fingerprint, now);
  };
  return next_to_start(state.attempts, state.shares, may_start, now);
}

void start_queued(agent_state& state, steady_time now) {
  while (has_free_slot(state)) {
    const auto attempt = next_allowed(state, now);
    if (!attempt) {
      return;
    }
    attempt_row& row = *find_attempt(state.attempts, *attempt);
    const request_facts& facts = row.offer.facts;
    charge(state.shares, facts.customer, weight_of(configuration_of(state), facts.customer),
           cost_of(facts));
    if (is_at_most_once(row)) {
      begin_claim(state, row, now);
    } else {
      run(state, row, now);
    }
  }
}

}  // namespace

void start_waiting(agent_state& state, steady_time now) {
  start_granted(state, now);
  start_queued(state, now);
  // The ledger may have granted claims immediately.
  start_granted(state, now);
}

}  // namespace chestnuthead
