#include "Agent/attempt_flow.h"

#include <optional>

namespace chestnuthead {

namespace {

void record(agent_state& state, const attempt_offered& offer, const char* name) {
  timeline_event event;
  event.node = state.settings.self;
  event.name = name;
  event.request = offer.facts.request;
  event.attempt = offer.attempt;
  event.chat = offer.facts.chat;
  event.endpoint = state.settings.endpoint;
  event.failure_domain = state.settings.failure_domain;
  state.actions.emplace_back(agent_record{event});
}

void refuse(agent_state& state, const attempt_offered& offer, refusal_kind why, steady_time now) {
  record(state, offer, "attempt_refused");
  state.actions.emplace_back(refuse_attempt{offer.attempt, why, std::chrono::milliseconds{0},
                                            report_load(state, offer.facts.chat, now)});
}

void accept(agent_state& state, attempt_row& row, steady_time now) {
  row.accepted = true;
  record(state, row.offer, "attempt_accepted");
  state.actions.emplace_back(
      accept_attempt{row.offer.attempt, report_load(state, row.offer.facts.chat, now)});
}

// Removes the row first, so that the report no longer counts it.
void end(agent_state& state, const attempt_id& attempt, attempt_outcome outcome, steady_time now) {
  const attempt_offered offer = find_attempt(state.attempts, attempt)->offer;
  state.attempts.rows.erase(attempt);
  record(state, offer, "attempt_ended");
  state.actions.emplace_back(
      end_attempt{attempt, outcome, report_load(state, offer.facts.chat, now)});
}

std::optional<refusal_kind> reason_to_refuse(const agent_state& state) {
  if (state.stopping) {
    return refusal_kind::out_of_service;
  }
  if (!state.endpoint_up) {
    return refusal_kind::not_ready;
  }
  if (in_flight(state) >= own_pool(state).warm_limit) {
    return refusal_kind::full;
  }
  return std::nullopt;
}

}  // namespace

void take_offer(agent_state& state, const attempt_offered& offer, steady_time now) {
  if (!note_seen(state.attempts, offer.attempt, now)) {
    return;
  }
  if (const auto why = reason_to_refuse(state)) {
    refuse(state, offer, *why, now);
    return;
  }
  accept(state, add_attempt(state.attempts, offer, now), now);
}

void take_withdrawal(agent_state& state, const attempt_id& attempt, steady_time now) {
  attempt_row* row = find_attempt(state.attempts, attempt);
  if (row == nullptr) {
    // Remembered, so that an offer that comes after its withdrawal never runs.
    note_seen(state.attempts, attempt, now);
    return;
  }
  if (row->phase == attempt_phase::running) {
    state.actions.emplace_back(cancel_on_endpoint{attempt});
  }
  end(state, attempt, attempt_outcome::cancelled, now);
}

void take_first_byte(agent_state& state, const attempt_id& attempt, steady_time now) {
  attempt_row* row = find_attempt(state.attempts, attempt);
  if (row != nullptr && !row->first_byte_at) {
    row->first_byte_at = now;
  }
}

void take_finish(agent_state& state, const endpoint_finished& event, steady_time now) {
  if (find_attempt(state.attempts, event.attempt) != nullptr) {
    end(state, event.attempt, attempt_outcome::complete, now);
  }
}

void take_failure(agent_state& state, const endpoint_failed& event, steady_time now) {
  if (event.crashed) {
    state.endpoint_up = false;
  }
  if (find_attempt(state.attempts, event.attempt) != nullptr) {
    end(state, event.attempt, attempt_outcome::endpoint_failed, now);
  }
}

void start_waiting(agent_state& state, steady_time now) {
  for (const attempt_id& attempt : attempts_in(state.attempts, attempt_phase::queued)) {
    if (!state.endpoint_up || slots_held(state.attempts) >= own_pool(state).concurrency) {
      return;
    }
    attempt_row& row = *find_attempt(state.attempts, attempt);
    row.phase = attempt_phase::running;
    row.started_at = now;
    record(state, row.offer, "attempt_running");
    state.actions.emplace_back(run_on_endpoint{attempt, 0});
  }
}

void end_expired(agent_state& state, steady_time now) {
  for (const attempt_id& attempt : attempts_in(state.attempts, attempt_phase::queued)) {
    if (find_attempt(state.attempts, attempt)->deadline <= now) {
      end(state, attempt, attempt_outcome::cancelled, now);
    }
  }
}

}  // namespace chestnuthead
