#include "Router/request_end.h"

#include <algorithm>
#include <string>

#include "Router/invariants.h"
#include "Router/seals.h"
#include "Router/timeline_records.h"

namespace chestnuthead::routing {

namespace {

constexpr std::chrono::milliseconds shortest_retry_after{100};
constexpr std::chrono::milliseconds default_retry_after{1'000};

run_state known_run_state(const request_table& table, const request_row& row) {
  if (row.bytes_passed > 0) {
    return run_state::ran;
  }
  return may_have_run(table, row) ? run_state::unknown : run_state::not_run;
}

}  // namespace

std::chrono::milliseconds retry_after_for(const request_row& row, error_kind why) {
  if (!answer_for(why).retry_after) {
    return std::chrono::milliseconds{0};
  }
  if (row.refusals.retry_after.count() == 0) {
    return default_retry_after;
  }
  return std::max(row.refusals.retry_after, shortest_retry_after);
}

void cancel_current(router_state& state, request_row& row, router_actions& actions) {
  if (row.current.empty()) {
    return;
  }
  const attempt_row& attempt = state.requests.attempts.at(row.current);
  actions.emplace_back(cancel_attempt{row.facts.request, row.current, attempt.agent});
  close_current(state.requests, row, attempt_state::ended);
}

void end_with_error(router_state& state, request_row& row, error_kind why, run_state ran,
                    router_actions& actions) {
  check_run_state(state, row, ran, actions);
  const request_id request = row.facts.request;
  record_event(row, "request_ended", {}, std::string(answer_for(why).name), actions);
  if (row.bytes_passed > 0) {
    actions.emplace_back(cut_answer{request, why, ran});
  } else {
    actions.emplace_back(answer_error{request, why, ran, retry_after_for(row, why)});
  }
  erase_request(state.requests, request);
}

void finish(router_state& state, request_row& row, router_actions& actions) {
  const request_id request = row.facts.request;
  record_event(row, "request_ended", {}, "whole", actions);
  actions.emplace_back(finish_answer{request});
  erase_request(state.requests, request);
}

void give_up(router_state& state, request_row& row, error_kind why, steady_time now,
             router_actions& actions) {
  cancel_current(state, row, actions);
  if (row.fetching) {
    end_as_ran(state, row, actions);
    return;
  }
  if (needs_seal(state, row)) {
    if (!state.switches.seal_before_not_run) {
      end_with_error(state, row, why, run_state::not_run, actions);
      return;
    }
    begin_seal(state, row, why, now, actions);
    return;
  }
  end_with_error(state, row, why, known_run_state(state.requests, row), actions);
}

}  // namespace chestnuthead::routing
