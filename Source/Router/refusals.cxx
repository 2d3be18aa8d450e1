#include "Router/refusals.h"

#include <algorithm>
#include <chrono>

#include "Router/dispatch.h"
#include "Router/probes.h"
#include "Router/request_end.h"

namespace chestnuthead::routing {

namespace {

using std::chrono::milliseconds;

/// Number of agents that may fail to reach the table before the call is given
/// up.
constexpr std::uint32_t ledger_failure_limit = 2;

/// Shortest and longest delay between two attempts for a key that another
/// attempt holds; the delay doubles each time.
constexpr milliseconds first_key_wait{100};
constexpr milliseconds longest_key_wait{1'000};

void record_retry_delay(refusal_summary& summary, milliseconds retry_after) {
  if (retry_after.count() <= 0) {
    return;
  }
  const bool first = summary.retry_after.count() == 0;
  summary.retry_after = first ? retry_after : std::min(summary.retry_after, retry_after);
}

void record_refused_load(refusal_summary& summary, const node_id& agent, const load_report& load,
                         steady_time now) {
  summary.loads.push_back({agent, load.in_flight, load.limit, now});
}

void try_next(router_state& state, request_row& row, const node_id& agent, steady_time now,
              router_actions& actions) {
  row.tried.push_back(agent);
  advance(state, row, now, actions);
}

void wait_for_key(request_row& row, steady_time now) {
  row.refusals.key_contended = true;
  // A retry that waits for a call in progress does not count against the
  // attempt limit.
  --row.counted_attempts;
  row.last_wait = std::clamp(2 * row.last_wait, first_key_wait, longest_key_wait);
  row.retry_at = now + row.last_wait;
  row.phase = request_phase::waiting;
}

void handle_ledger_unavailable(router_state& state, request_row& row, const node_id& agent,
                               steady_time now, router_actions& actions) {
  ++row.refusals.ledger_unavailable;
  if (row.refusals.ledger_unavailable >= ledger_failure_limit) {
    give_up(state, row, error_kind::ledger_unavailable, now, actions);
    return;
  }
  try_next(state, row, agent, now, actions);
}

}  // namespace

std::string_view name_of(refusal_kind why) {
  switch (why) {
    case refusal_kind::full:
      return "full";
    case refusal_kind::above_mean:
      return "above_mean";
    case refusal_kind::cold:
      return "cold";
    case refusal_kind::out_of_service:
      return "out_of_service";
    case refusal_kind::not_resident:
      return "not_resident";
    case refusal_kind::customer_over_share:
      return "customer_over_share";
    case refusal_kind::deadline:
      return "deadline";
    case refusal_kind::crashes:
      return "crashes";
    case refusal_kind::stale_router:
      return "stale_router";
    case refusal_kind::not_ready:
      return "not_ready";
    case refusal_kind::ledger_unavailable:
      return "ledger_unavailable";
    case refusal_kind::key_reused:
      return "key_reused";
    case refusal_kind::key_closed:
      return "key_closed";
    case refusal_kind::key_in_progress:
      return "key_in_progress";
    case refusal_kind::crashed_here:
      return "crashed_here";
  }
  return "unknown";
}

void handle_refusal(router_state& state, request_row& row, const attempt_row& attempt,
                    const attempt_refused& refusal, steady_time now, router_actions& actions) {
  record_retry_delay(row.refusals, refusal.retry_after);
  switch (refusal.why) {
    case refusal_kind::not_resident:
      if (!attempt.only_if_resident) {
        break;
      }
      // The endpoint may still receive the request, so it does not count as
      // tried.
      --row.counted_attempts;
      probe_for_holder(state, row, attempt.agent, now, actions);
      return;
    case refusal_kind::key_in_progress:
      wait_for_key(row, now);
      return;
    case refusal_kind::ledger_unavailable:
      handle_ledger_unavailable(state, row, attempt.agent, now, actions);
      return;
    case refusal_kind::crashes:
      give_up(state, row, error_kind::request_refused_after_crashes, now, actions);
      return;
    case refusal_kind::crashed_here:
      ++row.refusals.crashed_here;
      break;
    case refusal_kind::key_reused:
      give_up(state, row, error_kind::key_reused, now, actions);
      return;
    case refusal_kind::key_closed:
      give_up(state, row, error_kind::key_closed, now, actions);
      return;
    case refusal_kind::customer_over_share:
      row.refusals.customer_over_share = true;
      break;
    case refusal_kind::full:
    case refusal_kind::above_mean:
    case refusal_kind::cold:
      record_refused_load(row.refusals, attempt.agent, refusal.load, now);
      break;
    default:
      break;
  }
  try_next(state, row, attempt.agent, now, actions);
}

}  // namespace chestnuthead::routing
