#include "Router/attempts.h"

#include <algorithm>

#include "Base/hashing.h"
#include "Router/chat_affinity_cache.h"
#include "Router/dispatch.h"
#include "Router/refusals.h"
#include "Router/request_end.h"
#include "Router/seals.h"
#include "Router/timeline_records.h"

namespace chestnuthead::routing {

namespace {

const attempt_row& current_attempt(const router_state& state, const request_row& row) {
  return state.requests.attempts.at(row.current);
}

// The request if the event belongs to its current attempt, else nullptr.
request_row* find_event_request(router_state& state, const request_id& request,
                                const attempt_id& attempt) {
  if (state.switches.drop_stale_events) {
    return find_current(state.requests, request, attempt);
  }
  request_row* row = find_request(state.requests, request);
  return row == nullptr || row->current.empty() ? nullptr : row;
}

void record_agent_report(router_state& state, const node_id& agent, const load_report& load,
                         steady_time now) {
  store_load(state.loads, agent, load, now);
  note_link_recovered(*state.plane, agent);
  note_peer_version(*state.plane, agent, load.configuration_version);
}

void record_attempt_failure(router_state& state, request_row& row, const node_id& agent,
                            attempt_outcome outcome, steady_time now) {
  row.tried.push_back(agent);
  if (outcome == attempt_outcome::lost) {
    note_link_failed(*state.plane, agent, now);
  }
  const bool seen =
      std::find(row.failed_at.begin(), row.failed_at.end(), agent) != row.failed_at.end();
  if (outcome == attempt_outcome::endpoint_failed && !seen) {
    row.failed_at.push_back(agent);
  }
}

// A resumed attempt that passed on no further byte shows that the answer can't
// be continued.
bool resume_failed(const attempt_row& attempt, const request_row& row) {
  const bool resumed = attempt.resume_offset > 0;
  return resumed && attempt.state == attempt_state::accepted &&
         row.bytes_passed <= attempt.resume_offset;
}

error_kind why_not_retried(const request_row& row) {
  if (row.bytes_passed > 0) {
    return error_kind::answer_incomplete;
  }
  return row.failed_at.empty() ? error_kind::retries_exhausted : error_kind::endpoint_failed;
}

bool may_retry(router_state& state, const request_row& row, bool cannot_resume) {
  const policy_configuration& policy = current_configuration(*state.plane).policy;
  if (cannot_resume || row.failed_at.size() >= policy.crash_limit ||
      row.counted_attempts >= policy.attempt_limit) {
    return false;
  }
  if (!state.switches.limit_retries) {
    force_retry(state.retries);
    return true;
  }
  return spend_retry(state.retries);
}

void retry_or_give_up(router_state& state, request_row& row, attempt_outcome outcome,
                      steady_time now, router_actions& actions) {
  const attempt_row ended = current_attempt(state, row);
  const bool cannot_resume = resume_failed(ended, row);
  record_event(row, "attempt_ended", ended.agent, "", actions);
  close_current(state.requests, row, attempt_state::ended);
  record_attempt_failure(state, row, ended.agent, outcome, now);
  if (row.fetching) {
    end_as_ran(state, row, actions);
    return;
  }
  if (!may_retry(state, row, cannot_resume)) {
    give_up(state, row, why_not_retried(row), now, actions);
    return;
  }
  advance(state, row, now, actions);
}

}  // namespace

void handle_accepted(router_state& state, const attempt_accepted& event, steady_time now) {
  const request_row* row = find_event_request(state, event.request, event.attempt);
  if (row == nullptr) {
    return;
  }
  attempt_row& attempt = state.requests.attempts.at(row->current);
  attempt.state = attempt_state::accepted;
  record_agent_report(state, attempt.agent, event.load, now);
  if (row->model_engine && !row->facts.chat.empty()) {
    store_chat_affinity(state.chats, hash_text(row->facts.chat.value),
                        hash_text(attempt.agent.value));
  }
}

void handle_refused(router_state& state, const attempt_refused& event, steady_time now,
                    router_actions& actions) {
  request_row* row = find_event_request(state, event.request, event.attempt);
  if (row == nullptr) {
    return;
  }
  const attempt_row refused = current_attempt(state, *row);
  record_agent_report(state, refused.agent, event.load, now);
  record_event(*row, "attempt_refused", refused.agent, std::string(name_of(event.why)), actions);
  close_current(state.requests, *row, attempt_state::refused);
  handle_refusal(state, *row, refused, event, now, actions);
}

void handle_ended(router_state& state, const attempt_ended& event, steady_time now,
                  router_actions& actions) {
  request_row* row = find_event_request(state, event.request, event.attempt);
  if (row == nullptr) {
    return;
  }
  row->bytes_passed = std::max(row->bytes_passed, event.bytes_passed);
  if (event.outcome == attempt_outcome::complete) {
    record_agent_report(state, current_attempt(state, *row).agent, event.load, now);
    finish(state, *row, actions);
    return;
  }
  const bool at_most_once = row->facts.rule == execution_rule::at_most_once;
  if (event.outcome == attempt_outcome::outcome_unknown && at_most_once) {
    close_current(state.requests, *row, attempt_state::ended);
    end_with_error(state, *row, error_kind::outcome_unknown, run_state::unknown, actions);
    return;
  }
  retry_or_give_up(state, *row, event.outcome, now, actions);
}

void handle_accept_timeout(router_state& state, request_row& row, steady_time now,
                           router_actions& actions) {
  const attempt_row& attempt = current_attempt(state, row);
  actions.emplace_back(cancel_attempt{row.facts.request, row.current, attempt.agent});
  retry_or_give_up(state, row, attempt_outcome::lost, now, actions);
}

}  // namespace chestnuthead::routing
