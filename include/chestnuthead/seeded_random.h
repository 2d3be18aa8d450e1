#pragma once

#include <cstdint>
#include <random>

#include "chestnuthead/random_source.h"

namespace chestnuthead {

/// A deterministic random source: equal seeds yield equal sequences.
class seeded_random : public random_source {
 public:
  explicit seeded_random(std::uint64_t seed);

  std::uint64_t next() override;

 private:
  std::mt19937_64 engine;
};

}  // namespace chestnuthead
