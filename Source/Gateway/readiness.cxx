#include "Gateway/readiness.h"

namespace chestnuthead::gateway {

namespace {

/// Number of peers with recent messages, and of those that are current.
struct recent_peers {
  std::size_t all = 0;
  std::size_t current = 0;
};

recent_peers count_recent_peers(const peer_table& table, steady_time now) {
  recent_peers count;
  const std::chrono::milliseconds lifetime = peer_message_lifetime(table);
  for (const auto& [name, row] : table.rows) {
    if (now - row.received_at < lifetime && !row.message.leaving) {
      ++count.all;
      count.current += row.message.current ? 1 : 0;
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
  const recent_peers recent = count_recent_peers(state.peers, now);
  return recent.all == 0 || 2 * recent.current > recent.all;
}

bool is_ready(const gateway_state& state, steady_time now) {
  if (!is_complete(state) || state.stopping) {
    return false;
  }
  return !state.services->has_customers ||
         (keys_trusted(state, now) && !others_are_better(state, now));
}

}  // namespace chestnuthead::gateway
