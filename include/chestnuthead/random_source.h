#pragma once

#include <cstdint>

namespace chestnuthead {

/// Source of random numbers, injected into all code that makes random choices.
class random_source {
 public:
  virtual ~random_source() = default;

  /// Returns a number uniformly distributed over all 64-bit values.
  virtual std::uint64_t next() = 0;
};

/// Returns a number from 0 to `bound - 1`; `bound` must be greater than zero.
inline std::uint64_t next_below(random_source& random, std::uint64_t bound) {
  return random.next() % bound;
}

/// Returns a number in [0, 1).
inline double next_unit(random_source& random) {
  constexpr double two_to_minus_53 = 0x1.0p-53;
  return static_cast<double>(random.next() >> 11U) * two_to_minus_53;
}

}  // namespace chestnuthead
