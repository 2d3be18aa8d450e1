#pragma once

#include <chrono>

/// Clocks. The cores never read a clock: the current time is passed to them. Daemons
/// read it through `clock`, so that tests can substitute their own.
namespace chestnuthead {

/// A reading of one process's monotonic clock; meaningless in other processes.
using steady_time = std::chrono::steady_clock::time_point;
/// A reading of the wall clock, which may jump; used only for logs and records.
using system_time = std::chrono::system_clock::time_point;

/// Source of time for the daemons.
class clock {
 public:
  virtual ~clock() = default;

  /// Monotonic time; does not jump, and advances while the process is suspended.
  [[nodiscard]] virtual steady_time now() const = 0;
  /// Wall clock time, for logs and records.
  [[nodiscard]] virtual system_time wall_now() const = 0;
};

}  // namespace chestnuthead
