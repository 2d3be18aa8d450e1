#include "Agent/endpoint_events.h"

#include <algorithm>

#include "Agent/attempt_answers.h"
#include "Agent/ledger_link.h"
#include "Agent/suspect_isolation.h"

namespace chestnuthead {

namespace {

constexpr std::chrono::milliseconds come_back_after_crash{1'000};

void record_completed_answer(agent_state& state, const attempt_row& row,
                             const endpoint_finished& event, steady_time now) {
  note_duration(state.rate, now - row.started_at);
  const auto first_byte = row.first_byte_at.value_or(now) - row.started_at;
  const warmth_change change = note_completed(state.warm, own_pool(state), first_byte,
                                              event.prompt_tokens, event.cached_tokens);
  if (change == warmth_change::turned_cold) {
    record_event(state, "endpoint_turned_cold", "first bytes come late");
  }
  note_answer(state.resident, row.offer.facts.chat, row.expected_cached_tokens, event.cached_tokens,
              event.prompt_tokens + event.answer_tokens);
  clear_suspect(state.suspects, row.offer.facts.fingerprint);
}

// Ends an attempt that the endpoint no longer runs and did not answer completely.
void end_failed(agent_state& state, const attempt_id& attempt, bool never_sent, steady_time now) {
  const attempt_row& row = *find_attempt(state.attempts, attempt);
  if (row.phase == attempt_phase::cancelling) {
    state.attempts.rows.erase(attempt);
    return;
  }
  if (!is_at_most_once(row)) {
    end(state, attempt, attempt_outcome::endpoint_failed);
    return;
  }
  if (never_sent) {
    end(state, attempt, attempt_outcome::endpoint_failed);
    release_claim(state, attempt, now);
    return;
  }
  end(state, attempt, attempt_outcome::outcome_unknown);
  abandon_claim(state, attempt, now);
}

// Returns queued attempts at once: they have not run, and other endpoints may have
// free slots.
void reject_queued(agent_state& state) {
  for (const attempt_id& attempt : attempts_in(state.attempts, attempt_phase::queued)) {
    const attempt_row& row = *find_attempt(state.attempts, attempt);
    if (row.accepted) {
      end(state, attempt, attempt_outcome::endpoint_failed);
    } else {
      refuse(state, row.offer, refusal_kind::not_ready, come_back_after_crash);
    }
  }
}

void handle_crash(agent_state& state, steady_time now) {
  if (!state.endpoint_up) {
    return;
  }
  suspect_running_attempts(state, now);
  state.endpoint_up = false;
  state.crashed_at = now;
  clear_residency(state.resident);
  restart_cold(state.warm, own_pool(state));
  reject_queued(state);
}

void end_all_at_endpoint(agent_state& state, steady_time now) {
  for (const attempt_phase phase : {attempt_phase::running, attempt_phase::cancelling}) {
    for (const attempt_id& attempt : attempts_in(state.attempts, phase)) {
      end_failed(state, attempt, false, now);
    }
  }
}

}  // namespace

void handle_first_byte(agent_state& state, const attempt_id& attempt, steady_time now) {
  attempt_row* row = find_attempt(state.attempts, attempt);
  if (row != nullptr && row->phase == attempt_phase::running && !row->first_byte_at) {
    row->first_byte_at = now;
  }
}

void handle_finish(agent_state& state, const endpoint_finished& event, steady_time now) {
  attempt_row* row = find_attempt(state.attempts, event.attempt);
  if (row == nullptr) {
    return;
  }
  if (row->phase == attempt_phase::cancelling) {
    state.attempts.rows.erase(event.attempt);
    return;
  }
  if (row->phase != attempt_phase::running) {
    return;
  }
  record_completed_answer(state, *row, event, now);
  if (is_at_most_once(*row)) {
    begin_recording(state, *row, event.stored_answer, now);
    return;
  }
  end(state, event.attempt, attempt_outcome::complete);
}

void handle_failure(agent_state& state, const endpoint_failed& event, steady_time now) {
  if (event.crashed) {
    handle_crash(state, now);
  }
  const attempt_row* row = find_attempt(state.attempts, event.attempt);
  if (row != nullptr && holds_slot(*row)) {
    end_failed(state, event.attempt, event.never_sent, now);
  }
}

void handle_ready(agent_state& state, const endpoint_ready& event, steady_time now) {
  if (event.restarted) {
    if (state.endpoint_up) {
      // The endpoint crashed and restarted before any exchange with it was seen to
      // fail.
      handle_crash(state, now);
    }
    end_all_at_endpoint(state, now);
    clear_residency(state.resident);
    restart_cold(state.warm, own_pool(state));
  }
  state.endpoint_up = true;
  record_event(state, "endpoint_ready", event.restarted ? "began anew" : "still warm");
}

void end_crashed(agent_state& state, steady_time now) {
  if (!state.endpoint_up && now - state.crashed_at > crash_report_wait) {
    end_all_at_endpoint(state, now);
  }
}

}  // namespace chestnuthead
