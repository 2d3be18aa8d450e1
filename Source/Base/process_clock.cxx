#include "Base/process_clock.h"

#include <ctime>

namespace chestnuthead {

steady_time process_clock::now() const {
  return std::chrono::steady_clock::now();
}

system_time process_clock::wall_now() const {
  return std::chrono::system_clock::now();
}

steady_time suspend_aware_clock::now() const {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return steady_time(std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec});
}

system_time suspend_aware_clock::wall_now() const {
  return std::chrono::system_clock::now();
}

}  // namespace chestnuthead
