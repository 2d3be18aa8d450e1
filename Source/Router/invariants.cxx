#include "Router/invariants.h"

#include <algorithm>

#include "Ledger/sealer.h"
#include "Router/load_cache.h"
#include "Router/retry_budget.h"

namespace chestnuthead::routing {

namespace {

/// Attempts allowed beyond the limit: one at the least loaded endpoint and one
/// that fetches a stored answer.
constexpr std::uint32_t extra_attempts = 2;

bool waits_for_event(const request_row& row) {
  switch (row.phase) {
    case request_phase::attempting:
      return !row.current.empty();
    case request_phase::probing:
    case request_phase::waiting:
      return row.current.empty();
    case request_phase::sealing:
      return row.current.empty() && row.facts.rule == execution_rule::at_most_once;
  }
  return false;
}

// Valid only after a tick, which ends every overdue request even if the tick
// itself comes late.
bool is_overdue(const request_row& row, steady_time now) {
  if (row.phase == request_phase::sealing) {
    return now >= row.sealed_at + seal_timeout;
  }
  return now >= row.deadline;
}

bool is_known_out(const control_plane& plane, const node_id& node) {
  const auto& known = members(plane);
  const auto found =
      std::lower_bound(known.begin(), known.end(), node,
                       [](const member& left, const node_id& name) { return left.vm.node < name; });
  return found == known.end() || found->vm.node != node || is_out_of_service(plane, *found);
}

}  // namespace

void report_broken(router_state& state, const std::string& name, const std::string& detail,
                   router_actions& actions) {
  ++state.invariants_broken;
  actions.emplace_back(router_invariant_broken{name, detail});
}

void check_run_state(router_state& state, const request_row& row, run_state ran,
                     router_actions& actions) {
  if (ran != run_state::not_run || row.sealed_not_run) {
    return;
  }
  if (may_have_run(state.requests, row)) {
    report_broken(state, "not_run_while_unresolved", row.facts.request.value, actions);
  }
}

void check_attempt(router_state& state, const request_row& row, const send_attempt& attempt,
                   steady_time now, router_actions& actions) {
  const bool out = is_known_out(*state.plane, attempt.agent) ||
                   reported_leaving(state.loads, attempt.agent, now);
  if (out) {
    report_broken(state, "attempt_to_endpoint_out", attempt.agent.value, actions);
  }
  const bool in_time = attempt.time_left.count() > 0 && now + attempt.time_left <= row.deadline;
  if (!in_time) {
    report_broken(state, "attempt_past_deadline", attempt.attempt.value, actions);
  }
  if (!row.current.empty()) {
    report_broken(state, "two_attempts_open", attempt.attempt.value, actions);
  }
  const auto limit = current_configuration(*state.plane).policy.attempt_limit;
  if (row.counted_attempts > limit + extra_attempts) {
    report_broken(state, "attempt_limit_passed", attempt.attempt.value, actions);
  }
}

void check_requests(router_state& state, steady_time now, router_actions& actions) {
  if (overdrawn(state.retries)) {
    report_broken(state, "retry_budget_overdrawn", std::to_string(state.retries.spent), actions);
  }
  for (const auto& [request, row] : state.requests.requests) {
    if (!waits_for_event(row)) {
      report_broken(state, "request_forgotten", request.value, actions);
    }
    if (is_overdue(row, now)) {
      report_broken(state, "request_past_deadline", request.value, actions);
    }
  }
}

}  // namespace chestnuthead::routing
