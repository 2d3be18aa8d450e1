#include "Gateway/admission.h"

#include <algorithm>

#include "Gateway/readiness.h"

namespace chestnuthead::gateway {

namespace {

/// Shortest and longest time after which a caller may come back.
constexpr std::chrono::milliseconds shortest_return{250};
constexpr std::chrono::milliseconds longest_return{1'500};
/// Callers honour a time to come back up to this part of the time they have.
constexpr int honoured_part = 3;

/// The same for a caller that only has to go to another gateway: within a
/// latency objective, yet not all in one moment.
constexpr std::chrono::milliseconds shortest_change{10};
constexpr std::chrono::milliseconds longest_change{60};

std::chrono::milliseconds spread(std::chrono::milliseconds least, std::chrono::milliseconds most,
                                 random_source& random) {
  const auto range = static_cast<std::uint64_t>((most - least).count()) + 1;
  return least + std::chrono::milliseconds{next_below(random, range)};
}

std::chrono::milliseconds spread_return(std::chrono::milliseconds longest, random_source& random) {
  return spread(shortest_return, std::clamp(longest, shortest_return, longest_return), random);
}

/// A refusal for a reason of this gateway's own: callers for whom another gateway
/// is ready go there almost at once.
refusal refuse_here(error_kind kind, bool others_better, random_source& random) {
  return refusal{kind, others_better ? spread(shortest_change, longest_change, random)
                                     : spread_return(longest_return, random)};
}

}  // namespace

admission_result admit(const gateway_state& state, const caller_request& request,
                       random_source& random, steady_time now) {
  if (state.closed) {
    return refuse_here(error_kind::stopping, !state.peers.rows.empty(), random);
  }
  if (state.services == nullptr || !state.endpoints_known) {
    return refuse_here(error_kind::not_ready, others_are_better(state, now), random);
  }
  const service_map& services = *state.services;
  const route* found = find_route(services, request.host, path_of(request));
  if (found == nullptr) {
    return refusal{error_kind::unknown_route, {}};
  }
  admission taken{state.services, found, nullptr, {}, found->priority, {}, {}};
  if (services.has_customers && found->needs_key) {
    if (!keys_trusted(state, now)) {
      return refuse_here(error_kind::not_ready, others_are_better(state, now), random);
    }
    const customer* holder = find_customer(services, request.key);
    if (holder == nullptr) {
      return refusal{error_kind::unknown_key, {}};
    }
    taken.holder = holder->name;
    taken.priority = holder->priority >= 0 ? holder->priority : found->priority;
  }
  taken.taken_pool = pick_pool(services, *found, next_unit(random));
  if (taken.taken_pool == nullptr) {
    return refusal{error_kind::no_endpoint, spread_return(longest_return, random)};
  }
  const auto patience = request.patience.value_or(default_patience);
  taken.deadline = now + patience;
  taken.answer_by =
      found->timeout.count() > 0 ? std::min(taken.deadline, now + found->timeout) : taken.deadline;
  return taken;
}

refusal refuse_without_endpoint(no_choice why, std::chrono::milliseconds time_left,
                                random_source& random) {
  const error_kind kind =
      why == no_choice::none_in_service ? error_kind::no_endpoint : error_kind::overloaded;
  return refusal{kind, spread_return(time_left / honoured_part, random)};
}

refusal refuse_until_pause_ends(std::chrono::milliseconds pause, random_source& random) {
  // Later by a quarter at most, so that callers do not return together.
  constexpr int spread_part = 4;
  const auto latest = std::max(shortest_return, pause / spread_part);
  return refusal{error_kind::overloaded,
                 pause + spread(std::chrono::milliseconds{0}, latest, random)};
}

}  // namespace chestnuthead::gateway
