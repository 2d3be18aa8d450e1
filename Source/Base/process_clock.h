#pragma once

#include "chestnuthead/clock.h"

namespace chestnuthead {

/// The clock of this process's machine.
class process_clock : public clock {
 public:
  [[nodiscard]] steady_time now() const override;
  [[nodiscard]] system_time wall_now() const override;
};

}  // namespace chestnuthead
