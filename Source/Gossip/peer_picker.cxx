#include "Gossip/peer_picker.h"

#include <algorithm>

namespace chestnuthead {

namespace {

constexpr int tries_for_one_peer = 8;

void add(peer_group& group, std::size_t place, bool is_near) {
  (is_near ? group.near : group.far).push_back(place);
}

void rebuild_groups(peer_picker& picker, const member_table& table, const vm_entry& self) {
  if (picker.filled && picker.generation == table.generation) {
    return;
  }
  picker = peer_picker{table.generation, true, {}, {}};
  for (std::size_t place = 0; place < table.rows.size(); ++place) {
    const vm_entry& vm = table.rows[place].vm;
    const bool is_near = vm.region == self.region;
    add(picker.fleet, place, is_near);
    if (self.role == vm_role::agent && vm.role == vm_role::agent && vm.pool == self.pool) {
      add(picker.pool, place, is_near);
    }
  }
}

const std::vector<std::size_t>& pick_side(const peer_group& group, random_source& random) {
  const bool wants_near = next_unit(random) < own_region_share;
  if (group.near.empty()) {
    return group.far;
  }
  return wants_near || group.far.empty() ? group.near : group.far;
}

const member* pick_from(const peer_group& group, const member_table& table, random_source& random,
                        steady_time now) {
  for (int attempt = 0; attempt < tries_for_one_peer; ++attempt) {
    const std::vector<std::size_t>& side = pick_side(group, random);
    if (side.empty()) {
      return nullptr;
    }
    const member& row = table.rows[side[next_below(random, side.size())]];
    if (row.avoid_until <= now) {
      return &row;
    }
  }
  return nullptr;
}

}  // namespace

const member* pick_peer(peer_picker& picker, const member_table& table, const vm_entry& self,
                        random_source& random, steady_time now) {
  rebuild_groups(picker, table, self);
  const bool has_pool = !picker.pool.near.empty() || !picker.pool.far.empty();
  if (has_pool && next_unit(random) < own_pool_share) {
    if (const member* peer = pick_from(picker.pool, table, random, now)) {
      return peer;
    }
  }
  return pick_from(picker.fleet, table, random, now);
}

std::vector<const member*> pick_peers(peer_picker& picker, const member_table& table,
                                      const vm_entry& self, std::size_t count,
                                      random_source& random, steady_time now) {
  rebuild_groups(picker, table, self);
  std::vector<const member*> peers;
  for (std::size_t attempt = 0; attempt < 2 * count && peers.size() < count; ++attempt) {
    const member* peer = pick_from(picker.fleet, table, random, now);
    if (peer != nullptr && std::find(peers.begin(), peers.end(), peer) == peers.end()) {
      peers.push_back(peer);
    }
  }
  return peers;
}

}  // namespace chestnuthead
