#include "Gateway/clock_bound.h"

#include <algorithm>

namespace chestnuthead::gateway {

namespace {

void rotate_period(clock_bound& bound, std::chrono::milliseconds service_time, steady_time now) {
  if (service_time < bound.last_service_time) {
    // The service's clock was reset.
    bound = clock_bound{};
  }
  if (now - bound.period_began >= bound_period) {
    bound.previous = bound.present;
    bound.present.reset();
    bound.period_began = now;
  }
  bound.last_service_time = service_time;
}

/// Converts the service's time to this process's clock; `bound.present` must be set.
steady_time date_by_best(const clock_bound& bound, std::chrono::milliseconds service_time) {
  const std::chrono::nanoseconds best = *best_offset(bound);
  return steady_time{std::chrono::duration_cast<steady_time::duration>(service_time + best)};
}

}  // namespace

std::optional<std::chrono::nanoseconds> best_offset(const clock_bound& bound) {
  if (!bound.present) {
    return bound.previous;
  }
  return std::max(*bound.present, bound.previous.value_or(*bound.present));
}

steady_time date_answer(clock_bound& bound, std::chrono::milliseconds service_time,
                        steady_time began_at, steady_time now) {
  rotate_period(bound, service_time, now);
  // The service answered after the request was sent, so this process's time minus the
  // service's is at least this.
  const std::chrono::nanoseconds least = began_at.time_since_epoch() - service_time;
  bound.present = std::max(bound.present.value_or(least), least);
  return std::clamp(date_by_best(bound, service_time), began_at, std::max(began_at, now));
}

std::optional<steady_time> date_by_bound(const clock_bound& bound,
                                         std::chrono::milliseconds service_time, steady_time now) {
  const bool is_old = now - bound.period_began >= 2 * bound_period;
  if (!bound.present || is_old) {
    return std::nullopt;
  }
  return std::min(date_by_best(bound, service_time), now);
}

}  // namespace chestnuthead::gateway
