#include "Router/placement.h"

#include <algorithm>

#include "Base/hashing.h"

namespace chestnuthead::routing {

namespace {

pool_member make_pool_member(const control_plane& plane, const member& known,
                             std::size_t position) {
  pool_member entry;
  entry.hash = hash_text(known.vm.node.value);
  entry.node = known.vm.node;
  entry.address = known.vm.address;
  entry.failure_domain = known.vm.failure_domain;
  entry.in_service = !is_out_of_service(plane, known);
  entry.position = position;
  return entry;
}

struct ranked_member {
  std::uint64_t weight = 0;
  const pool_member* member = nullptr;
};

bool ranks_before(const ranked_member& left, const ranked_member& right) {
  // Ties are broken by the members' names.
  return left.weight != right.weight ? left.weight > right.weight
                                     : left.member->node < right.member->node;
}

}  // namespace

void refresh(placement_cache& cache, const control_plane& plane) {
  const std::uint64_t generation = view_generation(plane);
  if (cache.built && cache.generation == generation) {
    return;
  }
  cache = {};
  cache.built = true;
  cache.generation = generation;
  const std::vector<member>& known = members(plane);
  for (std::size_t position = 0; position < known.size(); ++position) {
    const member& node = known[position];
    if (node.vm.role != vm_role::agent) {
      continue;
    }
    pool_member entry = make_pool_member(plane, node, position);
    ++cache.endpoints_known;
    cache.endpoints_in_service += entry.in_service ? 1 : 0;
    cache.pools[node.vm.pool].push_back(std::move(entry));
  }
}

const std::vector<pool_member>& members_of(const placement_cache& cache, const pool_id& pool) {
  static const std::vector<pool_member> none;
  const auto found = cache.pools.find(pool);
  return found == cache.pools.end() ? none : found->second;
}

const pool_member* find_member(const std::vector<pool_member>& pool, const node_id& node) {
  const auto found = std::lower_bound(
      pool.begin(), pool.end(), node,
      [](const pool_member& left, const node_id& name) { return left.node < name; });
  return found != pool.end() && found->node == node ? &*found : nullptr;
}

std::uint64_t placement_hash(const request_facts& facts) {
  if (!facts.key.empty()) {
    return hash_text(facts.key.value);
  }
  if (!facts.chat.empty()) {
    return hash_text(facts.chat.value);
  }
  // The same content goes to the same endpoints in the same order, whoever
  // sends it, so that content which crashes engines reaches the agents that saw
  // the crashes.
  if (facts.fingerprint != 0) {
    return rendezvous_weight(facts.fingerprint, 0);
  }
  return hash_text(facts.request.value);
}

bool link_failed_recently(const control_plane& plane, const pool_member& member, steady_time now) {
  const auto& known = members(plane);
  if (member.position >= known.size()) {
    return false;
  }
  return known[member.position].avoid_until > now;
}

std::vector<const pool_member*> preference_order(const std::vector<const pool_member*>& pool,
                                                 std::uint64_t key_hash, std::size_t count) {
  std::vector<ranked_member> ranks;
  ranks.reserve(pool.size());
  for (const pool_member* member : pool) {
    ranks.push_back({rendezvous_weight(key_hash, member->hash), member});
  }
  const std::size_t wanted = std::min(count, ranks.size());
  const auto end = ranks.begin() + static_cast<std::ptrdiff_t>(wanted);
  std::partial_sort(ranks.begin(), end, ranks.end(), ranks_before);
  std::vector<const pool_member*> order;
  order.reserve(wanted);
  for (auto rank = ranks.begin(); rank != end; ++rank) {
    order.push_back(rank->member);
  }
  return order;
}

}  // namespace chestnuthead::routing
