#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/random_source.h"
#include "chestnuthead/vm_list.h"

#include "Gossip/member_table.h"

/// Chooses whom to talk to: mostly nodes of the own region and, for agents, of
/// the own pool, and some from everywhere else.
namespace chestnuthead {

/// Shares of the exchanges that stay within the region and within the pool.
inline constexpr double own_region_share = 0.8;
inline constexpr double own_pool_share = 0.75;

/// Places of nodes in the member table.
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

/// A node to exchange news with, or nullptr if there is none that answers.
const member* pick_peer(peer_picker& picker, const member_table& table, const vm_entry& self,
                        random_source& random, steady_time now);

/// Up to `count` distinct nodes of the whole fleet to tell news to.
std::vector<const member*> pick_peers(peer_picker& picker, const member_table& table,
                                      const vm_entry& self, std::size_t count,
                                      random_source& random, steady_time now);

}  // namespace chestnuthead
