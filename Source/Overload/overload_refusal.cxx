#include "Overload/overload_refusal.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace chestnuthead::overload {

std::chrono::milliseconds retry_after(std::size_t waiting, double completion_rate,
                                      random_source& random) {
  // Callers honour at most a third of the time they have left, so longer times tell them nothing.
  constexpr double longest = 5'000.0;
  constexpr double shortest = 250.0;
  constexpr double milliseconds_per_second = 1'000.0;
  const double rate = std::max(completion_rate, 1e-3);
  const double expected = milliseconds_per_second * static_cast<double>(waiting) / rate;
  const double least = std::clamp(expected, shortest, longest);
  const double jitter = least * next_unit(random);
  return std::chrono::milliseconds{static_cast<std::int64_t>(std::ceil(least + jitter))};
}

}  // namespace chestnuthead::overload
