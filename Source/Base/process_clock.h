#pragma once

#include "chestnuthead/clock.h"

namespace chestnuthead {

/// Clocks of the operating system; the monotonic one stops while the machine is
/// suspended.
class process_clock : public clock {
 public:
  [[nodiscard]] steady_time now() const override;
  [[nodiscard]] system_time wall_now() const override;
};

/// As `process_clock`, but its monotonic time includes the time for which the
/// machine was suspended.
class suspend_aware_clock : public clock {
 public:
  [[nodiscard]] steady_time now() const override;
  [[nodiscard]] system_time wall_now() const override;
};

}  // namespace chestnuthead
