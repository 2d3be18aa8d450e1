#pragma once

#include <chrono>

#include "chestnuthead/clock.h"

namespace chestnuthead {

/// A clock that only moves when a test advances it.
class stepped_clock : public clock {
 public:
  [[nodiscard]] steady_time now() const override {
    return this->present;
  }
  [[nodiscard]] system_time wall_now() const override {
    return system_time{
        std::chrono::duration_cast<system_time::duration>(this->present.time_since_epoch())};
  }

  void advance(std::chrono::milliseconds step) {
    this->present += step;
  }

 private:
  steady_time present{std::chrono::hours{1}};
};

}  // namespace chestnuthead
