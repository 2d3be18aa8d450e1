#include "Agent/attempt_flow.h"

#include <algorithm>
#include <string>

#include "Agent/admission.h"
#include "Agent/attempt_answers.h"
#include "Agent/control_link.h"
#include "Agent/ledger_link.h"

namespace chestnuthead {

namespace {

void report_broken_invariant(agent_state& state, const char* name, const attempt_id& attempt) {
  state.actions.emplace_back(agent_invariant_broken{name, attempt.value});
}

// Independent of the switches: reads the bound and the active configuration again.
void check_admitted(agent_state& state, const attempt_id& attempt) {
  const std::uint32_t warm = state.warm.limit;
  if (in_flight(state) > std::min(warm, guaranteed_bound(state).value_or(warm))) {
    report_broken_invariant(state, "load_above_bound", attempt);
  }
  if (is_leaving(state)) {
    report_broken_invariant(state, "admitted_while_out", attempt);
  }
}

void admit(agent_state& state, const attempt_offered& offer, steady_time now) {
  attempt_row& row = add_attempt(state.attempts, offer, now);
  row.expected_cached_tokens =
      std::min(resident_tokens(state.resident, offer.facts.chat), offer.facts.prompt_tokens);
  check_admitted(state, offer.attempt);
  // The ledger may still refuse an at-most-once attempt, which is therefore
  // accepted only once its claim is granted.
  if (!is_at_most_once(row)) {
    accept(state, row);
  }
}

// The endpoint may keep running for a moment, so the row counts as load until the
// exchange is closed.
void cancel_running(agent_state& state, attempt_row& row, steady_time now) {
  row.phase = attempt_phase::cancelling;
  row.cancelled_at = now;
  record_attempt(state, row.offer, "attempt_ended", "cancelled");
  state.actions.emplace_back(cancel_on_endpoint{row.offer.attempt});
  state.actions.emplace_back(end_attempt{row.offer.attempt, attempt_outcome::cancelled,
                                         report_load(state, row.offer.facts.chat)});
}

// Ends or refuses an attempt that was not sent to the endpoint and never will be.
void end_unsent(agent_state& state, attempt_row& row) {
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
      end_unsent(state, row);
      return;
    case attempt_phase::claiming:
      withdraw_claim(state, attempt, now);
      return;
    case attempt_phase::granted:
      end_unsent(state, row);
      release_claim(state, attempt, now);
      return;
    case attempt_phase::running:
      // An at-most-once call is never cancelled: its result must be recorded.
      if (!is_at_most_once(row)) {
        cancel_running(state, row, now);
      }
      return;
    case attempt_phase::recording:
    case attempt_phase::cancelling:
      return;
  }
}

// Refuses at-most-once calls that got no slot in time, so that their routers can
// try another endpoint.
void refuse_overdue_calls(agent_state& state, steady_time now) {
  for (const attempt_id& attempt : attempts_in(state.attempts, attempt_phase::queued)) {
    const attempt_row& row = *find_attempt(state.attempts, attempt);
    if (!row.accepted && now - row.admitted_at > call_queue_wait) {
      const auto retry_after = expected_time_to_free_slot(state.rate, slots_held(state.attempts));
      refuse(state, row.offer, refusal_kind::full, retry_after);
    }
  }
}

bool is_past_deadline(const attempt_row& row, steady_time now) {
  // The ledger enforces the deadline of a claim itself.
  return row.phase != attempt_phase::claiming && row.deadline <= now;
}

}  // namespace

void handle_offer(agent_state& state, const attempt_offered& offer, steady_time now) {
  if (!note_seen(state.attempts, offer.attempt, now) && state.switches.deduplicate_attempts) {
    // A duplicate that arrived late or out of order; the first copy was or will be
    // answered.
    return;
  }
  note_offered(state.audit, offer, now);
  if (offer.configuration_version > configuration_of(state).version) {
    note_peer_version(*state.control, offer.router, offer.configuration_version);
  }
  merge_refused_loads(state, offer, now);
  if (const auto why = reason_to_refuse(state, offer, now)) {
    refuse(state, offer, why->why, why->retry_after);
    return;
  }
  admit(state, offer, now);
}

void handle_withdrawal(agent_state& state, const attempt_id& attempt, steady_time now) {
  attempt_row* row = find_attempt(state.attempts, attempt);
  if (row == nullptr) {
    // Recorded as seen, so that an offer that arrives after its withdrawal never
    // runs.
    note_seen(state.attempts, attempt, now);
    return;
  }
  stop_attempt(state, *row, now);
}

void end_expired(agent_state& state, steady_time now) {
  std::vector<attempt_id> expired;
  for (const auto& [attempt, row] : state.attempts.rows) {
    if (is_past_deadline(row, now)) {
      expired.push_back(attempt);
    }
  }
  for (const attempt_id& attempt : expired) {
    if (attempt_row* row = find_attempt(state.attempts, attempt)) {
      stop_attempt(state, *row, now);
    }
  }
  refuse_overdue_calls(state, now);
  std::erase_if(state.attempts.rows, [now](const auto& entry) {
    const attempt_row& row = entry.second;
    return row.phase == attempt_phase::cancelling && now - row.cancelled_at > cancel_wait;
  });
}

}  // namespace chestnuthead
