#pragma once

#include <chrono>
#include <string>
#include <variant>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"
#include "chestnuthead/random_source.h"

#include "Gateway/gateway_state.h"
#include "Gateway/request.h"

/// Admission control: decides whether a request is accepted, and with which customer,
/// priority and deadlines.
namespace chestnuthead::gateway {

/// A rejected request. It was not executed.
struct refusal {
  error_kind kind = error_kind::overloaded;
  /// When the caller may retry; zero if a retry can't succeed.
  std::chrono::milliseconds retry_after{0};
};

/// An accepted request.
struct admission {
  /// Owns `taken_route` and `taken_pool`.
  service_map_ptr services;
  const route* taken_route = nullptr;
  const pool* taken_pool = nullptr;
  /// The customer that owns the caller's key; empty if the route needs no key.
  customer_id holder;
  /// 0 is the most urgent.
  int priority = 0;
  /// The caller stops waiting at this time.
  steady_time deadline{};
  /// The gateway must answer by this time: the caller's deadline or the route's timeout,
  /// whichever is earlier.
  steady_time answer_by{};
};

using admission_result = std::variant<admission, refusal>;

/// Timeout of a caller that sends none, if the route has none either.
inline constexpr std::chrono::milliseconds default_caller_timeout{60'000};

admission_result admit(const gateway_state& state, const caller_request& request,
                       random_source& random, steady_time now);

/// The refusal of a request because this gateway is stopping. If there are other gateways, the
/// retry time is short.
refusal refuse_at_stop(const gateway_state& state, random_source& random);

/// The refusal of a request for whose body this gateway has no memory left. If there are other
/// gateways, the retry time is short.
refusal refuse_without_memory(const gateway_state& state, random_source& random);

/// The refusal of a request for which no endpoint is available. Retry times carry
/// random jitter, so that callers don't retry at the same moment.
refusal refuse_without_endpoint(no_choice why, std::chrono::milliseconds time_left,
                                random_source& random);

/// The refusal of a request whose endpoints have all requested a pause. Callers are asked
/// to retry after `pause`, which is when the first of these pauses ends.
refusal refuse_until_pause_ends(std::chrono::milliseconds pause, random_source& random);

}  // namespace chestnuthead::gateway
