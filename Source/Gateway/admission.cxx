#include "Gateway/admission.h"

#include <algorithm>

#include "Gateway/readiness.h"

namespace chestnuthead::gateway {

namespace {

/// Bounds of the time after which a caller is asked to retry.
constexpr std::chrono::milliseconds min_retry_after{250};
constexpr std::chrono::milliseconds max_retry_after{1'500};
/// Callers honour a retry time of up to their remaining time divided by this.
constexpr int honoured_divisor = 3;

/// The same bounds if the caller only needs to switch to another gateway: short enough
/// for its latency objective, with jitter so that callers don't arrive together.
constexpr std::chrono::milliseconds min_switch_delay{10};
constexpr std::chrono::milliseconds max_switch_delay{60};

std::chrono::milliseconds spread(std::chrono::milliseconds least, std::chrono::milliseconds most,
                                 random_source& random) {
  const auto range = static_cast<std::uint64_t>((most - least).count()) + 1;
  return least + std::chrono::milliseconds{next_below(random, range)};
}

std::chrono::milliseconds random_retry_after(std::chrono::milliseconds longest,
                                             random_source& random) {
  return spread(min_retry_after, std::clamp(longest, min_retry_after, max_retry_after), random);
}

/// A refusal that only concerns this gateway. If another gateway can serve the caller,
/// the retry time is short.
refusal refuse_locally(error_kind kind, bool others_better, random_source& random) {
  return refusal{kind, others_better ? spread(min_switch_delay, max_switch_delay, random)
                                     : random_retry_after(max_retry_after, random)};
}

}  // namespace

admission_result admit(const gateway_state& state, const caller_request& request,
                       random_source& random, steady_time now) {
  if (is_closed(state, now)) {
    return refuse_at_stop(state, random);
  }
  if (state.services == nullptr || !state.endpoints_known) {
    return refuse_locally(error_kind::not_ready, others_are_better(state, now), random);
  }
  const service_map& services = *state.services;
  const route* found = find_route(services, request.host, path_of(request));
  if (found == nullptr) {
    return refusal{error_kind::unknown_route, {}};
  }
  admission taken{state.services, found, nullptr, {}, found->priority, {}, {}};
  if (services.has_customers && found->needs_key) {
    if (!keys_trusted(state, now)) {
      return refuse_locally(error_kind::not_ready, others_are_better(state, now), random);
    }
    const customer* holder = find_customer(services, request.key);
    if (holder == nullptr) {
      return refusal{error_kind::unknown_key, {}};
    }
    taken.holder = holder->name;
    taken.priority = holder->priority >= 0 ? holder->priority : found->priority;
  }
  taken.taken_pool = pick_pool(services, found->pools, next_unit(random));
  if (taken.taken_pool == nullptr) {
    return refusal{error_kind::no_endpoint, random_retry_after(max_retry_after, random)};
  }
  const auto patience = request.patience.value_or(default_caller_timeout);
  taken.deadline = now + patience;
  taken.answer_by =
      found->timeout.count() > 0 ? std::min(taken.deadline, now + found->timeout) : taken.deadline;
  return taken;
}

refusal refuse_at_stop(const gateway_state& state, random_source& random) {
  return refuse_locally(error_kind::stopping, !state.peers.rows.empty(), random);
}

refusal refuse_without_memory(const gateway_state& state, random_source& random) {
  return refuse_locally(error_kind::router_full, !state.peers.rows.empty(), random);
}

refusal refuse_without_endpoint(no_choice why, std::chrono::milliseconds time_left,
                                random_source& random) {
  const error_kind kind =
      why == no_choice::none_in_service ? error_kind::no_endpoint : error_kind::overloaded;
  return refusal{kind, random_retry_after(time_left / honoured_divisor, random)};
}

refusal refuse_until_pause_ends(std::chrono::milliseconds pause, random_source& random) {
  // Adds jitter of up to a quarter of the pause, so that callers don't retry together.
  constexpr int spread_part = 4;
  const auto latest = std::max(min_retry_after, pause / spread_part);
  return refusal{error_kind::overloaded,
                 pause + spread(std::chrono::milliseconds{0}, latest, random)};
}

}  // namespace chestnuthead::gateway
