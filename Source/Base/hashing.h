#pragma once

#include <cstdint>
#include <string_view>

/// Hash functions whose values are the same on every node and in every release.
namespace chestnuthead {

/// 64-bit hash of a string.
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0);

/// Weight of a member for a key in rendezvous hashing: the member with the
/// highest weight is the first choice for the key.
std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::uint64_t member_hash);

}  // namespace chestnuthead
