#include "Gateway/peer_news.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include "Gateway/endpoint_health.h"

namespace chestnuthead::gateway {

namespace {

using hash_list = std::vector<std::uint64_t>;

hash_list unreachable_before(const peer_table& table, const node_id& sender) {
  const auto place = table.rows.find(sender);
  return place == table.rows.end() ? hash_list{} : place->second.word.unreachable;
}

/// Elements of `lost` that are not in `before`.
hash_list newly_lost(hash_list before, hash_list lost) {
  if (lost == before) {
    return {};
  }
  std::sort(before.begin(), before.end());
  std::sort(lost.begin(), lost.end());
  hash_list added;
  std::set_difference(lost.begin(), lost.end(), before.begin(), before.end(),
                      std::back_inserter(added));
  return added;
}

/// Only endpoints that the sender has newly lost are doubted: a sender that is
/// cut off names the same ones in each message.
void doubt(endpoint_table& endpoints, const hash_list& added, steady_time now) {
  for (const std::uint64_t hash : added) {
    const auto place = endpoints.by_hash.find(hash);
    if (place != endpoints.by_hash.end()) {
      note_doubt(*place->second, now);
    }
  }
}

}  // namespace

bool take_word(gateway_state& state, const peer_word& word, steady_time now) {
  const hash_list before = unreachable_before(state.peers, word.sender);
  if (!hear_peer(state.peers, word, now)) {
    return false;
  }
  for (const crash_word& crash : word.crashes) {
    suspect(state.suspects, crash, now);
  }
  for (const prefix_word& placement : word.placements) {
    hear_placement(state.holders, placement, now);
    const auto place = state.endpoints.by_hash.find(placement.endpoint);
    if (place != state.endpoints.by_hash.end()) {
      note_arrival(*place->second, now);
    }
  }
  doubt(state.endpoints, newly_lost(before, word.unreachable), now);
  return true;
}

}  // namespace chestnuthead::gateway
