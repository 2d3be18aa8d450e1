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

/// Notes the report, and tells whether another peer has reported the same lately.
bool second_report(loss_reports& losses, std::uint64_t hash, const node_id& sender,
                   steady_time now) {
  const auto [place, is_first] = losses.try_emplace(hash, loss_report{sender, now});
  if (is_first) {
    return false;
  }
  const loss_report before = place->second;
  place->second = {sender, now};
  return before.sender != sender && now - before.heard_at < report_life;
}

/// Only endpoints that the sender has newly lost are doubted: a sender that is
/// cut off names the same ones in each message. One gateway may have lost its own way
/// only, so a few check the endpoint, and the others once one of these has lost it too.
void doubt(gateway_state& state, const node_id& sender, const hash_list& added, steady_time now) {
  for (const std::uint64_t hash : added) {
    const auto place = state.endpoints.by_hash.find(hash);
    if (place == state.endpoints.by_hash.end()) {
      continue;
    }
    if (second_report(state.losses, hash, sender, now) ||
        checks_for_all(state.peers, state.self, hash, now)) {
      note_doubt(*place->second, now);
    }
  }
}

void forget_reports(loss_reports& losses, steady_time now) {
  std::erase_if(losses,
                [now](const auto& entry) { return now - entry.second.heard_at >= report_life; });
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
  for (const prefix_word& shorter : word.shorter_prefixes) {
    hear_placement(state.holders, shorter, now);
  }
  for (const leaving_word& leaving : word.leaving_endpoints) {
    hear_leaving(state.endpoints, leaving, now);
  }
  const hash_list added = newly_lost(before, word.unreachable);
  if (!added.empty()) {
    forget_reports(state.losses, now);
    doubt(state, word.sender, added, now);
  }
  return true;
}

}  // namespace chestnuthead::gateway
