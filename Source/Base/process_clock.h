#pragma once

#include "chestnuthead/clock.h"

namespace chestnuthead {

/// The clock of this process's machine.
class process_clock : public clock {
 public:
  [[nodiscard]] steady_time now() const override;
  [[nodiscard]] system_time wall_now() const override;
};

/// As `process_clock`, but its monotonic time goes on while the machine is
/// suspended.
class suspend_aware_clock : public clock {
 public:
  [[nodiscard]] steady_time now() const override;
  [[nodiscard]] system_time wall_now() const override;
};

}  // namespace chestnuthead
