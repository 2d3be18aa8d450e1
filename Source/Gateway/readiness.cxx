#include "Gateway/readiness.h"

namespace chestnuthead::gateway {

namespace {

/// Peers that were heard lately.
struct heard_peers {
  std::size_t all = 0;
  std::size_t current = 0;
};

heard_peers count_heard(const peer_table& table, steady_time now) {
  heard_peers count;
  const std::chrono::milliseconds life = word_life(table);
  for (const auto& [name, row] : table.rows) {
    if (now - row.heard_at < life && !row.word.leaving) {
      ++count.all;
      count.current += row.word.current ? 1 : 0;
    }
  }
  return count;
}

bool is_complete(const gateway_state& state) {
  return state.services != nullptr && state.endpoints_known;
}

}  // namespace

bool is_current(const gateway_state& state, steady_time now) {
  return is_complete(state) && now - state.confirmed_at < current_for;
}

bool keys_trusted(const gateway_state& state, steady_time now) {
  return now - state.confirmed_at < state.key_trust;
}

bool others_are_better(const gateway_state& state, steady_time now) {
  if (is_current(state, now) || state.peers.rows.empty()) {
    return false;
  }
  const heard_peers heard = count_heard(state.peers, now);
  return heard.all == 0 || 2 * heard.current > heard.all;
}

bool is_ready(const gateway_state& state, steady_time now) {
  if (!is_complete(state) || state.stopping) {
    return false;
  }
  return !state.services->has_customers ||
         (keys_trusted(state, now) && !others_are_better(state, now));
}

}  // namespace chestnuthead::gateway
