#include "Gateway/peer_news.h"

#include <set>
#include <vector>

#include "Gateway/endpoint_health.h"

namespace chestnuthead::gateway {

namespace {

using hash_set = std::set<std::uint64_t>;

hash_set unreachable_before(const peer_table& table, const node_id& sender) {
  const auto place = table.rows.find(sender);
  if (place == table.rows.end()) {
    return {};
  }
  const std::vector<std::uint64_t>& list = place->second.word.unreachable;
  return {list.begin(), list.end()};
}

/// Only endpoints that the sender has newly lost are doubted: a sender that is
/// cut off names the same ones in each message.
void doubt_newly_lost(endpoint_table& endpoints, const hash_set& before, const hash_set& lost,
                      steady_time now) {
  for (auto& [name, row] : endpoints.rows) {
    if (lost.contains(row.hash) && !before.contains(row.hash)) {
      note_doubt(row, now);
    }
  }
}

}  // namespace

bool take_word(gateway_state& state, const peer_word& word, steady_time now) {
  const hash_set before = unreachable_before(state.peers, word.sender);
  if (!hear_peer(state.peers, word, now)) {
    return false;
  }
  for (const crash_word& crash : word.crashes) {
    suspect(state.suspects, crash, now);
  }
  for (const prefix_word& placement : word.placements) {
    hear_placement(state.holders, placement, now);
  }
  const hash_set lost(word.unreachable.begin(), word.unreachable.end());
  if (!lost.empty()) {
    doubt_newly_lost(state.endpoints, before, lost, now);
  }
  return true;
}

}  // namespace chestnuthead::gateway
