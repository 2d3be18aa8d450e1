#pragma once

#include <chrono>
#include <cmath>

#include "chestnuthead/clock.h"

namespace chestnuthead {

/// What is left at `now` of an amount that counted in full at `since` and counts half
/// after each `half_life`.
inline double faded(double amount, steady_time since, std::chrono::duration<double> half_life,
                    steady_time now) {
  const std::chrono::duration<double> passed = now - since;
  return amount == 0.0 ? 0.0 : amount * std::exp2(-passed / half_life);
}

}  // namespace chestnuthead
