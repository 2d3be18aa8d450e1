#include "Router/expiry.h"

#include <vector>

#include "Router/attempts.h"
#include "Router/dispatch.h"
#include "Router/probes.h"
#include "Router/request_end.h"

namespace chestnuthead::routing {

namespace {

bool accept_timed_out(const router_state& state, const request_row& row, steady_time now) {
  if (row.current.empty()) {
    return false;
  }
  const attempt_row& attempt = state.requests.attempts.at(row.current);
  const bool claims = row.facts.rule == execution_rule::at_most_once;
  const auto timeout = claims ? claim_timeout : accept_timeout;
  return attempt.state == attempt_state::sent && now - attempt.sent_at >= timeout;
}

void tick_request(router_state& state, request_row& row, steady_time now, router_actions& actions) {
  // A seal has a timeout of its own.
  if (row.phase == request_phase::sealing) {
    return;
  }
  if (now >= row.deadline) {
    give_up(state, row, error_kind::deadline_exceeded, now, actions);
    return;
  }
  if (accept_timed_out(state, row, now)) {
    handle_accept_timeout(state, row, now, actions);
    return;
  }
  if (row.phase == request_phase::probing && now >= row.probes.timeout_at) {
    end_probes(state, row, now, actions);
    return;
  }
  if (row.phase == request_phase::waiting && now >= row.retry_at) {
    advance(state, row, now, actions);
  }
}

}  // namespace

void tick_requests(router_state& state, steady_time now, router_actions& actions) {
  // Rows are erased during the loop, so their ids are copied first.
  std::vector<request_id> names;
  names.reserve(state.requests.requests.size());
  for (const auto& [request, row] : state.requests.requests) {
    names.push_back(request);
  }
  for (const request_id& name : names) {
    request_row* row = find_request(state.requests, name);
    if (row != nullptr) {
      tick_request(state, *row, now, actions);
    }
  }
}

}  // namespace chestnuthead::routing
