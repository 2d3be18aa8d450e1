#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "Base/hashing.h"

/// The order of preference of one key over the members of a pool.
namespace chestnuthead::routing {

/// The members that `usable` lets through, best first, `count` at most. The
/// order of any two members does not depend on the others.
template <class Member, class Predicate>
std::vector<const Member*> preference_order(const std::vector<Member>& pool, std::uint64_t key_hash,
                                            std::size_t count, Predicate usable) {
  struct ranked {
    std::uint64_t weight;
    const Member* member;
  };
  std::vector<ranked> ranks;
  ranks.reserve(pool.size());
  for (const Member& member : pool) {
    if (usable(member)) {
      ranks.push_back({rendezvous_weight(key_hash, member.hash), &member});
    }
  }
  const std::size_t wanted = std::min(count, ranks.size());
  const auto end = ranks.begin() + static_cast<std::ptrdiff_t>(wanted);
  std::partial_sort(ranks.begin(), end, ranks.end(), [](const ranked& left, const ranked& right) {
    // Equal weights fall back on the members' stable order.
    return left.weight != right.weight ? left.weight > right.weight : left.member < right.member;
  });
  std::vector<const Member*> order;
  order.reserve(wanted);
  for (auto rank = ranks.begin(); rank != end; ++rank) {
    order.push_back(rank->member);
  }
  return order;
}

}  // namespace chestnuthead::routing
