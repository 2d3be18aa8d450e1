#include "Router/dispatch.h"

#include <algorithm>
#include <chrono>

#include "Router/choice.h"
#include "Router/invariants.h"
#include "Router/probes.h"
#include "Router/request_end.h"
#include "Router/timeline_records.h"

namespace chestnuthead::routing {

namespace {

using std::chrono::milliseconds;

attempt_id make_attempt_id(router_state& state) {
  const std::uint64_t number = ++state.requests.attempts_created;
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
  // Failures that this request met itself count at once, since gossip about
  // them may arrive late.
  const auto own_failures =
      static_cast<std::uint32_t>(row.failed_at.size()) + row.refusals.crashed_here;
  const std::uint32_t reported_crashes =
      endpoints_crashed_by(*state.plane, row.facts.fingerprint, now);
  return std::max(own_failures, reported_crashes) >= policy_of(state).crash_limit;
}

bool may_have_holder(const router_state& state, const request_row& row) {
  const bool returning = row.facts.returning && !row.facts.chat.empty();
  return returning && policy_of(state).prefix_probes > 0;
}

// Sends a returning chat to the agent that most likely holds its prefix, on
// condition that it does.
bool send_to_likely_holder(router_state& state, request_row& row, steady_time now,
                           router_actions& actions) {
  const pool_member* holder = cached_holder(state, row, now);
  const pool_member* target = holder != nullptr ? holder : next_choice(state, row, now);
  if (target == nullptr) {
    return false;
  }
  send_to(state, row, *target, true, now, actions);
  return true;
}

// True if the request to a model engine starts with a probe or a conditional
// attempt.
bool start_with_probe(router_state& state, request_row& row, steady_time now,
                      router_actions& actions) {
  if (!row.model_engine || row.probed) {
    return false;
  }
  row.probed = true;
  if (may_have_holder(state, row)) {
    return send_to_likely_holder(state, row, now, actions);
  }
  // A returning chat goes to its first choice without a probe.
  const bool has_prefix = row.facts.returning && !row.facts.chat.empty();
  return !has_prefix && compare_loads(state, row, now, actions);
}

const pool_member* least_loaded_fallback(const router_state& state, request_row& row,
                                         steady_time now) {
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
  return row.fetching ? nullptr : least_loaded_fallback(state, row, now);
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
    const auto age = std::chrono::duration_cast<milliseconds>(now - refused.received_at);
    // An endpoint has the name of the VM that its agent runs on.
    loads.push_back({endpoint_id{refused.agent.value}, refused.in_flight, refused.limit, age});
  }
  return loads;
}

}  // namespace

void send_to(router_state& state, request_row& row, const pool_member& target,
             bool only_if_resident, steady_time now, router_actions& actions) {
  send_attempt action;
  action.facts = row.facts;
  action.attempt = make_attempt_id(state);
  action.terms.only_if_resident = only_if_resident;
  action.terms.resume_offset = row.bytes_passed;
  action.terms.earlier_attempts = static_cast<std::uint32_t>(row.attempts.size());
  action.terms.refused_loads = loads_of_refusals(row, now);
  action.agent = target.node;
  action.address = target.address;
  action.time_left = time_left(state, row, now);
  action.configuration_version = current_configuration(*state.plane).version;
  ++row.counted_attempts;
  check_attempt(state, row, action, now, actions);

  attempt_row entry;
  entry.request = row.facts.request;
  entry.agent = target.node;
  entry.sent_at = now;
  entry.only_if_resident = only_if_resident;
  entry.resume_offset = row.bytes_passed;
  add_attempt(state.requests, row, action.attempt, entry);
  count_sent(state.loads, target.node);
  record_event(row, "attempt_sent", target.node, only_if_resident ? "only if resident" : "",
               actions);
  actions.emplace_back(std::move(action));
}

void advance(router_state& state, request_row& row, steady_time now, router_actions& actions) {
  // An attempt needs at least one millisecond before the deadline.
  if (row.deadline - now < milliseconds{1}) {
    give_up(state, row, error_kind::deadline_exceeded, now, actions);
    return;
  }
  if (refused_after_crashes(state, row, now)) {
    give_up(state, row, error_kind::request_refused_after_crashes, now, actions);
    return;
  }
  if (start_with_probe(state, row, now, actions)) {
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
