#include "chestnuthead/seeded_random.h"

namespace chestnuthead {

seeded_random::seeded_random(std::uint64_t seed) : engine(seed) {}

std::uint64_t seeded_random::next() {
  return this->engine();
}

}  // namespace chestnuthead
