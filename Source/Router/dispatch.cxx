#include "Router/dispatch.h"

#include <algorithm>
#include <chrono>

#include "Router/choice.h"
#include "Router/conclude.h"
#include "Router/invariants.h"
#include "Router/probes.h"
#include "Router/timeline_records.h"

namespace chestnuthead::routing {

namespace {

using std::chrono::milliseconds;

attempt_id name_attempt(router_state& state) {
  const std::uint64_t number = ++state.requests.attempts_named;
  return {state.settings.self.value + "." + std::to_string(state.run_number) + "." +
          std::to_string(number)};
}

const policy_configuration& policy_of(const router_state& state) {
  return current_configuration(*state.plane).policy;
}

bool refused_after_crashes(const router_state& state, const request_row& row, steady_time now) {
  if (!state.switches.refuse_after_crashes || row.fetching) {
    return false;
  }
  // What this request met itself counts at once; the news of it may lag.
  const auto met = static_cast<std::uint32_t>(row.failed_at.size()) + row.refusals.crashed_here;
  const std::uint32_t heard = endpoints_crashed_by(*state.plane, row.facts.fingerprint, now);
  return std::max(met, heard) >= policy_of(state).crash_limit;
}

bool may_have_holder(const router_state& state, const request_row& row) {
  const bool returning = row.facts.returning && !row.facts.chat.empty();
  return returning && policy_of(state).prefix_probes > 0;
}

// Sends a returning chat to where its prefix should be, if it is there.
bool ask_holder(router_state& state, request_row& row, steady_time now, router_actions& actions) {
  const pool_member* holder = remembered_holder(state, row, now);
  const pool_member* target = holder != nullptr ? holder : next_choice(state, row, now);
  if (target == nullptr) {
    return false;
  }
  send_to(state, row, *target, true, now, actions);
  return true;
}

// True if the first step of a request to a model engine was a question.
bool ask_first(router_state& state, request_row& row, steady_time now, router_actions& actions) {
  if (!row.model_engine || row.probed) {
    return false;
  }
  row.probed = true;
  if (may_have_holder(state, row)) {
    return ask_holder(state, row, now, actions);
  }
  // A chat that was asked for before goes to its first choice unasked.
  const bool has_prefix = row.facts.returning && !row.facts.chat.empty();
  return !has_prefix && compare_loads(state, row, now, actions);
}

const pool_member* last_resort(const router_state& state, request_row& row, steady_time now) {
  if (row.least_loaded_tried) {
    return nullptr;
  }
  row.least_loaded_tried = true;
  return least_loaded(state, row, now);
}

const pool_member* choose(router_state& state, request_row& row, steady_time now) {
  const std::uint32_t extra = row.fetching ? 2 : 0;
  if (row.counted_attempts < policy_of(state).attempt_limit + extra) {
    return next_choice(state, row, now);
  }
  return row.fetching ? nullptr : last_resort(state, row, now);
}

error_kind why_not_placed(const request_table& table, const request_row& row) {
  if (row.bytes_passed > 0) {
    return error_kind::answer_incomplete;
  }
  if (may_have_run(table, row)) {
    return error_kind::retries_exhausted;
  }
  if (row.refusals.ledger_unavailable > 0) {
    return error_kind::ledger_unavailable;
  }
  if (row.refusals.customer_over_share) {
    return error_kind::customer_over_share;
  }
  return row.attempts.empty() ? error_kind::no_endpoint : error_kind::overloaded;
}

milliseconds time_left(const router_state& state, const request_row& row, steady_time now) {
  if (!state.switches.keep_deadline) {
    return std::chrono::duration_cast<milliseconds>(row.deadline - row.arrived_at);
  }
  return std::chrono::duration_cast<milliseconds>(row.deadline - now);
}

std::vector<load_entry> loads_of_refusals(const request_row& row, steady_time now) {
  std::vector<load_entry> loads;
  for (const refused_load& refused : row.refusals.loads) {
    const auto age = std::chrono::duration_cast<milliseconds>(now - refused.heard_at);
    // An endpoint is named after the VM that its agent runs on.
    loads.push_back({endpoint_id{refused.agent.value}, refused.in_flight, refused.limit, age});
  }
  return loads;
}

}  // namespace

void send_to(router_state& state, request_row& row, const pool_member& target,
             bool only_if_resident, steady_time now, router_actions& actions) {
  send_attempt order;
  order.facts = row.facts;
  order.attempt = name_attempt(state);
  order.terms.only_if_resident = only_if_resident;
  order.terms.resume_offset = row.bytes_passed;
  order.terms.earlier_attempts = static_cast<std::uint32_t>(row.attempts.size());
  order.terms.refused_loads = loads_of_refusals(row, now);
  order.agent = target.node;
  order.address = target.address;
  order.time_left = time_left(state, row, now);
  order.configuration_version = current_configuration(*state.plane).version;
  ++row.counted_attempts;
  check_attempt(state, row, order, now, actions);

  attempt_row entry;
  entry.request = row.facts.request;
  entry.agent = target.node;
  entry.sent_at = now;
  entry.only_if_resident = only_if_resident;
  entry.resume_offset = row.bytes_passed;
  add_attempt(state.requests, row, order.attempt, entry);
  count_sent(state.loads, target.node);
  record(row, "attempt_sent", target.node, only_if_resident ? "only if resident" : "", actions);
  actions.emplace_back(std::move(order));
}

void advance(router_state& state, request_row& row, steady_time now, router_actions& actions) {
  // Less than a millisecond is no time for an attempt.
  if (row.deadline - now < milliseconds{1}) {
    give_up(state, row, error_kind::deadline_exceeded, now, actions);
    return;
  }
  if (refused_after_crashes(state, row, now)) {
    give_up(state, row, error_kind::request_refused_after_crashes, now, actions);
    return;
  }
  if (ask_first(state, row, now, actions)) {
    return;
  }
  const pool_member* target = choose(state, row, now);
  if (target == nullptr) {
    give_up(state, row, why_not_placed(state.requests, row), now, actions);
    return;
  }
  send_to(state, row, *target, false, now, actions);
}

}  // namespace chestnuthead::routing
