#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"
#include "chestnuthead/request.h"

#include "Gossip/control_plane.h"

/// Rendezvous hashing: every router ranks the members of a pool in the same
/// order for the same chat, whichever of them are in service.
namespace chestnuthead::routing {

/// An agent of a pool, with the properties that placement depends on.
struct pool_member {
  std::uint64_t hash = 0;
  node_id node;
  std::string address;
  failure_domain_id failure_domain;
  /// Neither taken out of service nor leaving, as far as this router has been
  /// informed.
  bool in_service = false;
  /// Index in `members(plane)` at the generation of the cache.
  std::size_t position = 0;
};

/// The members of each pool, rebuilt when the control plane's view changes.
struct placement_cache {
  bool built = false;
  std::uint64_t generation = 0;
  std::map<pool_id, std::vector<pool_member>> pools;
  std::uint32_t endpoints_known = 0;
  std::uint32_t endpoints_in_service = 0;
};

/// Rebuilds the cache if the control plane's view has changed.
void refresh(placement_cache& cache, const control_plane& plane);

/// The pool's members sorted by name; empty if the pool has no agent.
const std::vector<pool_member>& members_of(const placement_cache& cache, const pool_id& pool);

/// The member with that name, or nullptr.
const pool_member* find_member(const std::vector<pool_member>& pool, const node_id& node);

/// Hash that a request is placed by: of its idempotency key, else of its chat,
/// else of its content, else of its request id.
std::uint64_t placement_hash(const request_facts& facts);

/// True if a link to the member failed recently and attempts should avoid it.
bool link_failed_recently(const control_plane& plane, const pool_member& member, steady_time now);

/// The first `count` members in the order of preference of one key. The
/// relative order of two members does not depend on the other members.
std::vector<const pool_member*> preference_order(const std::vector<const pool_member*>& pool,
                                                 std::uint64_t key_hash, std::size_t count);

}  // namespace chestnuthead::routing
