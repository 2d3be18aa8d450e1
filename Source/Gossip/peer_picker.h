#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/random_source.h"
#include "chestnuthead/vm_list.h"

#include "Gossip/member_table.h"

/// Random choice of gossip peers: mostly nodes of the same region and, for agents,
/// of the same pool, and some from the rest of the fleet.
namespace chestnuthead {

/// Fractions of the exchanges that stay within the region and within the pool.
inline constexpr double own_region_share = 0.8;
inline constexpr double own_pool_share = 0.75;

/// Indices into the rows of the member table: `near` for nodes of the same region,
/// `far` for the others.
struct peer_group {
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
};

struct peer_picker {
  std::uint64_t generation = 0;
  bool filled = false;
  peer_group pool;
  peer_group fleet;
};

/// A peer for an exchange, or nullptr if no peer outside its backoff was found.
const member* pick_peer(peer_picker& picker, const member_table& table, const vm_entry& self,
                        random_source& random, steady_time now);

/// Up to `count` distinct nodes of the whole fleet to push updates to.
std::vector<const member*> pick_peers(peer_picker& picker, const member_table& table,
                                      const vm_entry& self, std::size_t count,
                                      random_source& random, steady_time now);

}  // namespace chestnuthead
