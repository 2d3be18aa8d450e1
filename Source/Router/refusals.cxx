#include "Router/refusals.h"

#include <algorithm>
#include <chrono>

#include "Router/conclude.h"
#include "Router/dispatch.h"
#include "Router/probes.h"

namespace chestnuthead::routing {

namespace {

using std::chrono::milliseconds;

/// Agents that may fail to reach the table before the call is given up.
constexpr std::uint32_t ledger_patience = 2;

/// Waits between two questions for a key that another attempt holds.
constexpr milliseconds first_key_wait{100};
constexpr milliseconds longest_key_wait{1'000};

void note_come_back(refusal_notes& notes, milliseconds retry_after) {
  if (retry_after.count() <= 0) {
    return;
  }
  const bool first = notes.retry_after.count() == 0;
  notes.retry_after = first ? retry_after : std::min(notes.retry_after, retry_after);
}

void note_load(refusal_notes& notes, const node_id& agent, const load_report& load,
               steady_time now) {
  notes.loads.push_back({agent, load.in_flight, load.limit, now});
}

void try_next(router_state& state, request_row& row, const node_id& agent, steady_time now,
              router_actions& actions) {
  row.tried.push_back(agent);
  advance(state, row, now, actions);
}

void wait_for_key(request_row& row, steady_time now) {
  row.refusals.key_contended = true;
  // Waiting for a call that is in progress is no new try of it.
  --row.counted_attempts;
  row.waited = std::clamp(2 * row.waited, first_key_wait, longest_key_wait);
  row.wake = now + row.waited;
  row.phase = request_phase::waiting;
}

void act_on_ledger(router_state& state, request_row& row, const node_id& agent, steady_time now,
                   router_actions& actions) {
  ++row.refusals.ledger_unavailable;
  if (row.refusals.ledger_unavailable >= ledger_patience) {
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

void act_on_refusal(router_state& state, request_row& row, const attempt_row& attempt,
                    const attempt_refused& refusal, steady_time now, router_actions& actions) {
  note_come_back(row.refusals, refusal.retry_after);
  switch (refusal.why) {
    case refusal_kind::not_resident:
      if (!attempt.only_if_resident) {
        break;
      }
      // The endpoint may still get the request, so it is not counted as tried.
      --row.counted_attempts;
      seek_holder(state, row, attempt.agent, now, actions);
      return;
    case refusal_kind::key_in_progress:
      wait_for_key(row, now);
      return;
    case refusal_kind::ledger_unavailable:
      act_on_ledger(state, row, attempt.agent, now, actions);
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
      note_load(row.refusals, attempt.agent, refusal.load, now);
      break;
    default:
      break;
  }
  try_next(state, row, attempt.agent, now, actions);
}

}  // namespace chestnuthead::routing
