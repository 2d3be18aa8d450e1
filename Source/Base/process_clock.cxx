#include "Base/process_clock.h"

namespace chestnuthead {

steady_time process_clock::now() const {
  return std::chrono::steady_clock::now();
}

system_time process_clock::wall_now() const {
  return std::chrono::system_clock::now();
}

}  // namespace chestnuthead
