#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

#include "chestnuthead/clock.h"

namespace chestnuthead {

/// Actions in the order of a virtual clock. Actions due at the same moment run
/// in the order in which they were added.
class event_queue {
 public:
  [[nodiscard]] steady_time now() const;

  /// Runs `action` once, `delay` from now.
  void after(std::chrono::microseconds delay, std::function<void()> action);

  /// Runs everything that is due until `end`, which becomes the time.
  void run_until(steady_time end);

 private:
  struct moment {
    steady_time when;
    std::uint64_t order = 0;

    auto operator<=>(const moment&) const = default;
  };

  // Starts above zero, so that times of zero stay "never".
  steady_time time{std::chrono::hours{1}};
  std::uint64_t added = 0;
  std::map<moment, std::function<void()>> actions;
};

}  // namespace chestnuthead
