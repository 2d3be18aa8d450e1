#include "Agent/endpoint_events.h"

#include <algorithm>

#include "Agent/attempt_answers.h"
#include "Agent/ledger_link.h"
#include "Agent/suspect_isolation.h"

namespace chestnuthead {

namespace {

constexpr std::chrono::milliseconds come_back_after_crash{1'000};

bool is_at_most_once(const attempt_row& row) {
  return row.offer.facts.rule == execution_rule::at_most_once;
}

void learn_from_answer(agent_state& state, const attempt_row& row, const endpoint_finished& event,
                       steady_time now) {
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

// The endpoint no longer has the attempt and gave no whole answer.
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

// What waits is sent back at once: it has not run, and others may have room.
void send_back_waiting(agent_state& state) {
  for (const attempt_id& attempt : attempts_in(state.attempts, attempt_phase::queued)) {
    const attempt_row& row = *find_attempt(state.attempts, attempt);
    if (row.accepted) {
      end(state, attempt, attempt_outcome::endpoint_failed);
    } else {
      refuse(state, row.offer, refusal_kind::not_ready, come_back_after_crash);
    }
  }
}

void take_crash(agent_state& state, steady_time now) {
  if (!state.endpoint_up) {
    return;
  }
  accuse_running(state, now);
  state.endpoint_up = false;
  state.crashed_at = now;
  clear_residency(state.resident);
  restart_cold(state.warm, own_pool(state));
  send_back_waiting(state);
}

void end_all_at_endpoint(agent_state& state, steady_time now) {
  for (const attempt_phase phase : {attempt_phase::running, attempt_phase::cancelling}) {
    for (const attempt_id& attempt : attempts_in(state.attempts, phase)) {
      end_failed(state, attempt, false, now);
    }
  }
}

}  // namespace

void take_first_byte(agent_state& state, const attempt_id& attempt, steady_time now) {
  attempt_row* row = find_attempt(state.attempts, attempt);
  if (row != nullptr && row->phase == attempt_phase::running && !row->first_byte_at) {
    row->first_byte_at = now;
  }
}

void take_finish(agent_state& state, const endpoint_finished& event, steady_time now) {
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
  learn_from_answer(state, *row, event, now);
  if (is_at_most_once(*row)) {
    begin_recording(state, *row, event.stored_answer, now);
    return;
  }
  end(state, event.attempt, attempt_outcome::complete);
}

void take_failure(agent_state& state, const endpoint_failed& event, steady_time now) {
  if (event.crashed) {
    take_crash(state, now);
  }
  const attempt_row* row = find_attempt(state.attempts, event.attempt);
  if (row != nullptr && holds_slot(*row)) {
    end_failed(state, event.attempt, event.never_sent, now);
  }
}

void take_ready(agent_state& state, const endpoint_ready& event, steady_time now) {
  if (event.restarted) {
    if (state.endpoint_up) {
      // It fell and came back before any exchange with it was seen to break.
      take_crash(state, now);
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
