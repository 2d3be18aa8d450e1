#pragma once

#include <chrono>

/// Time as the system sees it. The cores never ask for the time: it is passed
/// to them. Daemons read it through `clock`, so that tests can play with it.
namespace chestnuthead {

/// A reading of the monotonic clock of one process; never sent to another.
using steady_time = std::chrono::steady_clock::time_point;
/// A reading of the calendar clock; may jump, used for records only.
using system_time = std::chrono::system_clock::time_point;

/// Source of time for the daemons.
class clock {
 public:
  virtual ~clock() = default;

  /// Monotonic time; does not jump, and goes on while the process is paused.
  [[nodiscard]] virtual steady_time now() const = 0;
  /// Calendar time, for logs and records.
  [[nodiscard]] virtual system_time wall_now() const = 0;
};

}  // namespace chestnuthead
