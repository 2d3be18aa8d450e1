#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

#include "chestnuthead/clock.h"

namespace chestnuthead {

/// Event queue with a virtual clock. Actions due at the same time run in the order
/// in which they were added.
class event_queue {
 public:
  [[nodiscard]] steady_time now() const;

  /// Runs `action` once, `delay` from now.
  void after(std::chrono::microseconds delay, std::function<void()> action);

  /// Runs all actions due up to `end` and advances the clock to it.
  void run_until(steady_time end);

 private:
  struct moment {
    steady_time when;
    std::uint64_t order = 0;

    auto operator<=>(const moment&) const = default;
  };

  // Starts above zero, because a time of zero means "never".
  steady_time time{std::chrono::hours{1}};
  std::uint64_t added = 0;
  std::map<moment, std::function<void()>> actions;
};

}  // namespace chestnuthead
