#pragma once

#include <cstdint>

namespace chestnuthead {

/// Source of random numbers, passed to whatever makes a random choice.
class random_source {
 public:
  virtual ~random_source() = default;

  /// A number spread evenly over all 64-bit values.
  virtual std::uint64_t next() = 0;
};

/// A number from 0 to `bound - 1`; `bound` must be above zero.
inline std::uint64_t next_below(random_source& random, std::uint64_t bound) {
  return random.next() % bound;
}

/// A number from 0 up to but not including 1.
inline double next_unit(random_source& random) {
  constexpr double two_to_minus_53 = 0x1.0p-53;
  return static_cast<double>(random.next() >> 11U) * two_to_minus_53;
}

}  // namespace chestnuthead
