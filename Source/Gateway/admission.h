#pragma once

#include <chrono>
#include <string>
#include <variant>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"
#include "chestnuthead/random_source.h"

#include "Gateway/gateway_state.h"
#include "Gateway/request.h"

/// Whether a request is taken at all, and under which terms.
namespace chestnuthead::gateway {

/// A request that was not taken. It was not executed.
struct refusal {
  error_kind kind = error_kind::overloaded;
  /// When to come back; zero if coming back does not help.
  std::chrono::milliseconds retry_after{0};
};

/// A request that was taken.
struct admission {
  /// Keeps the route and the pool alive.
  service_map_ptr services;
  const route* taken_route = nullptr;
  const pool* taken_pool = nullptr;
  /// Empty where callers need no key.
  customer_id holder;
  /// 0 is the most urgent.
  int priority = 0;
  /// The caller does not wait beyond this time.
  steady_time deadline{};
  /// The gateway answers by this time at the latest.
  steady_time answer_by{};
};

using admission_result = std::variant<admission, refusal>;

/// Patience of a caller that names none, where the route has no timeout.
inline constexpr std::chrono::milliseconds default_patience{60'000};

admission_result admit(const gateway_state& state, const caller_request& request,
                       random_source& random, steady_time now);

/// The refusal of a request that no endpoint can take now. Times to come back
/// are spread, so that callers do not return together.
refusal refuse_without_endpoint(no_choice why, std::chrono::milliseconds time_left,
                                random_source& random);

/// The refusal of a request whose endpoints have all asked for a pause, the shortest of
/// which is over after `pause`. Callers are told to come back once it is.
refusal refuse_until_pause_ends(std::chrono::milliseconds pause, random_source& random);

}  // namespace chestnuthead::gateway
