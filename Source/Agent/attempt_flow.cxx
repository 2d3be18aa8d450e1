#include "Agent/attempt_flow.h"

#include <algorithm>
#include <string>

#include "Agent/admission.h"
#include "Agent/attempt_answers.h"
#include "Agent/control_link.h"
#include "Agent/ledger_link.h"

namespace chestnuthead {

namespace {

void break_invariant(agent_state& state, const char* name, const attempt_id& attempt) {
  state.actions.emplace_back(agent_invariant_broken{name, attempt.value});
}

// Holds whatever the switches say: the bound and the orders in force are looked
// up anew.
void check_admitted(agent_state& state, const attempt_id& attempt) {
  const std::uint32_t warm = state.warm.limit;
  if (in_flight(state) > std::min(warm, promised_bound(state).value_or(warm))) {
    break_invariant(state, "load_above_bound", attempt);
  }
  if (is_leaving(state)) {
    break_invariant(state, "admitted_while_out", attempt);
  }
}

bool is_at_most_once(const attempt_row& row) {
  return row.offer.facts.rule == execution_rule::at_most_once;
}

void admit(agent_state& state, const attempt_offered& offer, steady_time now) {
  attempt_row& row = add_attempt(state.attempts, offer, now);
  row.expected_cached_tokens =
      std::min(resident_tokens(state.resident, offer.facts.chat), offer.facts.prompt_tokens);
  check_admitted(state, offer.attempt);
  // The ledger may still refuse an at-most-once attempt, so that one is
  // accepted when its claim stands.
  if (!is_at_most_once(row)) {
    accept(state, row);
  }
}

// The endpoint may go on for a moment, so the row counts as load until the
// exchange is closed.
void cancel_running(agent_state& state, attempt_row& row, steady_time now) {
  row.phase = attempt_phase::cancelling;
  row.cancelled_at = now;
  record_attempt(state, row.offer, "attempt_ended", "cancelled");
  state.actions.emplace_back(cancel_on_endpoint{row.offer.attempt});
  state.actions.emplace_back(end_attempt{row.offer.attempt, attempt_outcome::cancelled,
                                         report_load(state, row.offer.facts.chat)});
}

// The attempt has not been given to the endpoint and never will be.
void give_up(agent_state& state, attempt_row& row) {
  if (row.accepted) {
    end(state, row.offer.attempt, attempt_outcome::cancelled);
    return;
  }
  refuse(state, row.offer, refusal_kind::deadline, std::chrono::milliseconds{0});
}

void stop_attempt(agent_state& state, attempt_row& row, steady_time now) {
  const attempt_id attempt = row.offer.attempt;
  switch (row.phase) {
    case attempt_phase::queued:
      give_up(state, row);
      return;
    case attempt_phase::claiming:
      withdraw_claim(state, attempt, now);
      return;
    case attempt_phase::granted:
      give_up(state, row);
      release_claim(state, attempt, now);
      return;
    case attempt_phase::running:
      // A call that must not run twice is never cut: its result is recorded.
      if (!is_at_most_once(row)) {
        cancel_running(state, row, now);
      }
      return;
    case attempt_phase::recording:
    case attempt_phase::cancelling:
      return;
  }
}

// Sends calls on that got no slot, so that another endpoint may have them.
void send_on_waiting_calls(agent_state& state, steady_time now) {
  for (const attempt_id& attempt : attempts_in(state.attempts, attempt_phase::queued)) {
    const attempt_row& row = *find_attempt(state.attempts, attempt);
    if (!row.accepted && now - row.admitted_at > call_queue_wait) {
      const auto retry_after = time_to_next_end(state.rate, slots_held(state.attempts));
      refuse(state, row.offer, refusal_kind::full, retry_after);
    }
  }
}

bool time_is_up(const attempt_row& row, steady_time now) {
  // The ledger keeps the deadline of a claim itself.
  return row.phase != attempt_phase::claiming && row.deadline <= now;
}

}  // namespace

void take_offer(agent_state& state, const attempt_offered& offer, steady_time now) {
  if (!note_seen(state.attempts, offer.attempt, now) && state.switches.remember_attempts) {
    // A crossed or late copy; the first one was or will be answered.
    return;
  }
  note_offered(state.audit, offer, now);
  if (offer.configuration_version > configuration_of(state).version) {
    note_version(*state.control, offer.router, offer.configuration_version);
  }
  take_refused_loads(state, offer, now);
  if (const auto why = reason_to_refuse(state, offer, now)) {
    refuse(state, offer, why->why, why->retry_after);
    return;
  }
  admit(state, offer, now);
}

void take_withdrawal(agent_state& state, const attempt_id& attempt, steady_time now) {
  attempt_row* row = find_attempt(state.attempts, attempt);
  if (row == nullptr) {
    // Remembered, so that an offer that comes after its withdrawal never runs.
    note_seen(state.attempts, attempt, now);
    return;
  }
  stop_attempt(state, *row, now);
}

void end_expired(agent_state& state, steady_time now) {
  std::vector<attempt_id> expired;
  for (const auto& [attempt, row] : state.attempts.rows) {
    if (time_is_up(row, now)) {
      expired.push_back(attempt);
    }
  }
  for (const attempt_id& attempt : expired) {
    if (attempt_row* row = find_attempt(state.attempts, attempt)) {
      stop_attempt(state, *row, now);
    }
  }
  send_on_waiting_calls(state, now);
  std::erase_if(state.attempts.rows, [now](const auto& entry) {
    const attempt_row& row = entry.second;
    return row.phase == attempt_phase::cancelling && now - row.cancelled_at > cancel_wait;
  });
}

}  // namespace chestnuthead
