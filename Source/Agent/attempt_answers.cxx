#include "Agent/attempt_answers.h"

#include "Agent/admission.h"

namespace chestnuthead {

namespace {

const char* name_of_outcome(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::complete:
      return "complete";
    case attempt_outcome::endpoint_failed:
      return "endpoint failed";
    case attempt_outcome::lost:
      return "lost";
    case attempt_outcome::cancelled:
      return "cancelled";
    case attempt_outcome::outcome_unknown:
      return "outcome unknown";
  }
  return "";
}

const char* name_of_refusal(refusal_kind why) {
  switch (why) {
    case refusal_kind::full:
      return "full";
    case refusal_kind::above_mean:
      return "above the mean";
    case refusal_kind::cold:
      return "cold";
    case refusal_kind::out_of_service:
      return "out of service";
    case refusal_kind::not_resident:
      return "not resident";
    case refusal_kind::customer_over_share:
      return "customer over its share";
    case refusal_kind::deadline:
      return "deadline";
    case refusal_kind::crashes:
      return "crashed endpoints";
    case refusal_kind::stale_router:
      return "stale router";
    case refusal_kind::not_ready:
      return "not ready";
    case refusal_kind::ledger_unavailable:
      return "ledger unavailable";
    case refusal_kind::key_reused:
      return "key reused";
    case refusal_kind::key_closed:
      return "key closed";
    case refusal_kind::key_in_progress:
      return "key in progress";
    case refusal_kind::crashed_here:
      return "crashed here";
  }
  return "";
}

timeline_event own_event(const agent_state& state, const std::string& name) {
  timeline_event event;
  event.node = state.settings.self;
  event.name = name;
  event.endpoint = state.settings.endpoint;
  event.failure_domain = state.settings.failure_domain;
  return event;
}

}  // namespace

load_report report_load(const agent_state& state, const chat_id& chat) {
  load_report report;
  report.in_flight = in_flight(state);
  report.limit = load_limit(state);
  report.pool_mean = adjusted_mean(state.pool, in_flight(state)).value_or(0.0);
  report.resident_tokens = resident_tokens(state.resident, chat);
  report.configuration_version = configuration_of(state).version;
  report.leaving = is_leaving(state);
  return report;
}

void record_event(agent_state& state, const std::string& name, const std::string& detail) {
  timeline_event event = own_event(state, name);
  event.detail = detail;
  state.actions.emplace_back(agent_record{event});
}

void record_attempt(agent_state& state, const attempt_offered& offer, const std::string& name,
                    const std::string& detail) {
  timeline_event event = own_event(state, name);
  event.request = offer.facts.request;
  event.attempt = offer.attempt;
  event.chat = offer.facts.chat;
  event.detail = detail;
  state.actions.emplace_back(agent_record{event});
}

void accept(agent_state& state, attempt_row& row) {
  row.accepted = true;
  record_attempt(state, row.offer, "attempt_accepted");
  state.actions.emplace_back(
      accept_attempt{row.offer.attempt, report_load(state, row.offer.facts.chat)});
}

void refuse(agent_state& state, const attempt_offered& offer, refusal_kind why,
            std::chrono::milliseconds retry_after) {
  // Copied, since the reference may point into the row that is erased below.
  const attempt_offered kept = offer;
  state.attempts.rows.erase(kept.attempt);
  record_attempt(state, kept, "attempt_refused", name_of_refusal(why));
  state.actions.emplace_back(
      refuse_attempt{kept.attempt, why, retry_after, report_load(state, kept.facts.chat)});
}

void end(agent_state& state, const attempt_id& attempt, attempt_outcome outcome) {
  const attempt_offered offer = find_attempt(state.attempts, attempt)->offer;
  state.attempts.rows.erase(attempt);
  record_attempt(state, offer, "attempt_ended", name_of_outcome(outcome));
  state.actions.emplace_back(end_attempt{attempt, outcome, report_load(state, offer.facts.chat)});
}

void answer_stored(agent_state& state, const attempt_id& attempt, const std::string& answer) {
  const attempt_offered offer = find_attempt(state.attempts, attempt)->offer;
  state.attempts.rows.erase(attempt);
  record_attempt(state, offer, "attempt_ended", "stored answer");
  state.actions.emplace_back(
      answer_from_ledger{attempt, answer, report_load(state, offer.facts.chat)});
}

}  // namespace chestnuthead
