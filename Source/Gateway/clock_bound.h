#pragma once

#include <chrono>
#include <optional>

#include "chestnuthead/clock.h"

/// Converts timestamps of a service's steady clock to this process's clock, so that a
/// delayed answer is dated by when the service sent it and not by its arrival.
namespace chestnuthead::gateway {

/// Estimated offset between the two clocks.
struct clock_bound {
  /// Lower bounds of this process's time minus the service's time: the greatest of the
  /// current period and that of the previous one.
  std::optional<std::chrono::nanoseconds> present;
  std::optional<std::chrono::nanoseconds> previous;
  steady_time period_began{};
  std::chrono::milliseconds last_service_time{0};
};

/// Length of a period. Bounds expire because the two clocks may drift apart.
inline constexpr std::chrono::seconds bound_period{60};

/// Updates the bound from an answer that carries the service's time. Returns a time of
/// this process's clock that is not later than the moment at which the service created the
/// answer, and not earlier than `began_at`, when this process sent the request.
steady_time date_answer(clock_bound& bound, std::chrono::milliseconds service_time,
                        steady_time began_at, steady_time now);

/// The same for an answer that a peer received and forwarded. Returns nothing if this
/// process has no recent bound.
std::optional<steady_time> date_by_bound(const clock_bound& bound,
                                         std::chrono::milliseconds service_time, steady_time now);

/// Lower bound of this process's time minus the service's; nothing if none is known.
std::optional<std::chrono::nanoseconds> best_offset(const clock_bound& bound);

}  // namespace chestnuthead::gateway
