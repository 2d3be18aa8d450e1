#pragma once

#include <chrono>
#include <cstddef>

#include "chestnuthead/random_source.h"

namespace chestnuthead::overload {

/// When a caller refused by an overloaded pool may retry: the time after which the pool is
/// expected to have room again, at least 250 ms, with jitter of up to as much again, so that the
/// callers refused in a surge do not return together.
std::chrono::milliseconds retry_after(std::size_t waiting, double completion_rate,
                                      random_source& random);

}  // namespace chestnuthead::overload
