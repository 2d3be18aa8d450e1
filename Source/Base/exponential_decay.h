#pragma once

#include <chrono>
#include <cmath>

#include "chestnuthead/clock.h"

namespace chestnuthead {

/// Value at `now` of an amount that was `amount` at `since` and decays exponentially
/// with `half_life`.
inline double decayed(double amount, steady_time since, std::chrono::duration<double> half_life,
                      steady_time now) {
  const std::chrono::duration<double> elapsed = now - since;
  return amount == 0.0 ? 0.0 : amount * std::exp2(-elapsed / half_life);
}

}  // namespace chestnuthead
