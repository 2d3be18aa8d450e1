#pragma once

#include <chrono>
#include <ctime>

namespace chestnuthead {

/// The processor time that `work` takes, which, unlike the time on a clock, does not depend on
/// what else runs.
template <class Work>
std::chrono::milliseconds processor_time_of(Work&& work) {
  const std::clock_t began = std::clock();
  work();
  const std::chrono::duration<double> spent{static_cast<double>(std::clock() - began) /
                                            CLOCKS_PER_SEC};
  return std::chrono::duration_cast<std::chrono::milliseconds>(spent);
}

}  // namespace chestnuthead
