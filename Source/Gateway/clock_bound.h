#pragma once

#include <chrono>
#include <optional>

#include "chestnuthead/clock.h"

/// Dates the answers of a service by the service's own steady clock, so that an
/// answer that was held back counts from when it was given.
namespace chestnuthead::gateway {

/// What is known of the difference between the two clocks.
struct clock_bound {
  /// Lower bounds of this process's time minus the service's time: the best of
  /// the present period and that of the one before it.
  std::optional<std::chrono::nanoseconds> present;
  std::optional<std::chrono::nanoseconds> previous;
  steady_time period_began{};
  std::chrono::milliseconds last_service_time{0};
};

/// How long a bound is used: the two clocks may drift apart.
inline constexpr std::chrono::seconds bound_period{60};

/// Takes in an answer that carries the service's time, and returns a time of
/// this process at which the service had certainly not given it yet: never
/// earlier than `began_at`, never later than the answer itself.
steady_time date_answer(clock_bound& bound, std::chrono::milliseconds service_time,
                        steady_time began_at, steady_time now);

/// The same for what a peer says of an answer that it got: nothing if no answer to this
/// process has told the difference of the clocks lately.
std::optional<steady_time> date_by_bound(const clock_bound& bound,
                                         std::chrono::milliseconds service_time, steady_time now);

}  // namespace chestnuthead::gateway
