#include "Base/hashing.h"

#include <array>

#include <xxhash.h>

namespace chestnuthead {

std::uint64_t hash_text(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::uint64_t member_hash) {
  const std::array<std::uint64_t, 2> pair{key_hash, member_hash};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

}  // namespace chestnuthead
