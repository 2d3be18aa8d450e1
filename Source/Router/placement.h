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

/// Rendezvous placement: every router ranks the members of a pool in the same
/// order for the same chat, whichever of them are in service at the moment.
namespace chestnuthead::routing {

/// An agent of a pool, with what a choice needs to know of it.
struct pool_member {
  std::uint64_t hash = 0;
  node_id node;
  std::string address;
  failure_domain_id failure_domain;
  /// Neither taken out nor leaving, as far as this router knows.
  bool in_service = false;
  /// Position in `members(plane)` at the generation of the cache.
  std::size_t position = 0;
};

/// The members of each pool, kept until the control plane's view changes.
struct placement_cache {
  bool built = false;
  std::uint64_t generation = 0;
  std::map<pool_id, std::vector<pool_member>> pools;
  std::uint32_t endpoints_known = 0;
  std::uint32_t endpoints_in_service = 0;
};

/// Builds the cache anew if the view has changed.
void refresh(placement_cache& cache, const control_plane& plane);

/// The pool's members in the order of their names; none if it has no agent.
const std::vector<pool_member>& members_of(const placement_cache& cache, const pool_id& pool);

/// The member of that name, or nullptr.
const pool_member* find_member(const std::vector<pool_member>& pool, const node_id& node);

/// Hash of what a request is placed by: its key, else its chat, else its
/// content, else its own name.
std::uint64_t placement_hash(const request_facts& facts);

/// True if links to the member failed a short while ago.
bool avoided(const control_plane& plane, const pool_member& member, steady_time now);

/// The members in the order of preference of one key, best first, `count` at
/// most. The order of any two members does not depend on the others.
std::vector<const pool_member*> preference_order(const std::vector<const pool_member*>& pool,
                                                 std::uint64_t key_hash, std::size_t count);

}  // namespace chestnuthead::routing
