#include "Gateway/cold_pacing.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "Base/hashing.h"

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;

/// Time from a gateway's start until it sends to cold endpoints. Its predecessor may have sent
/// requests in the last second, and gateways that start together know each other only once they
/// have read their list again, which takes 4.25 s at most.
constexpr std::chrono::seconds start_wait{5};

void update_pacing(endpoint& row, double cold_rate, const gateway_state& state,
                   const fleet_members& members, steady_time now) {
  cold_pacing& pacing = row.pacing;
  const std::uint32_t rank = rank_for(row, members);
  const std::uint32_t senders =
      cold_senders(cold_rate, static_cast<std::uint32_t>(members.peers.size()) + 1);
  const bool is_for_doubt = !is_cold(row, now);
  // What an endpoint that is known to be cold has received before is not known to all gateways.
  const bool turned_cold = pacing.is_for_doubt && !is_for_doubt;
  const bool was_sender = pacing.is_sender && !turned_cold;
  const bool is_first_decision = !pacing.is_decided;
  pacing.is_decided = true;
  pacing.is_for_doubt = is_for_doubt;
  pacing.is_sender = state.peers_known && !state.stopping && rank < senders;
  pacing.interval = cold_interval(cold_rate, senders);
  if (pacing.is_sender && !was_sender) {
    const milliseconds delay =
        is_first_decision ? pacing.interval * rank / senders : pacing.interval;
    // A gateway that finds the names of others in the list shares the rate with them from the
    // start.
    const bool waits = !is_for_doubt || members.peers.empty();
    pacing.next_at = std::max(
        {pacing.next_at, now + delay, waits ? state.started_at + start_wait : steady_time{}});
  }
}

}  // namespace

fleet_members members_of(const gateway_state& state) {
  fleet_members members;
  members.self = hash_text(state.self.value);
  members.peers.reserve(state.peers.rows.size());
  for (const auto& [name, row] : state.peers.rows) {
    members.peers.push_back(hash_text(name.value));
  }
  return members;
}

std::uint32_t rank_for(const endpoint& row, const fleet_members& members) {
  const std::uint64_t own = rendezvous_weight(row.hash, members.self);
  return static_cast<std::uint32_t>(std::count_if(
      members.peers.begin(), members.peers.end(),
      [&row, own](std::uint64_t peer) { return rendezvous_weight(row.hash, peer) > own; }));
}

std::uint32_t cold_senders(double cold_rate, std::uint32_t gateways) {
  const auto supported = static_cast<std::uint32_t>(std::clamp(cold_rate, 1.0, 1e9));
  return std::min(supported, gateways);
}

milliseconds cold_interval(double cold_rate, std::uint32_t senders) {
  const double seconds = static_cast<double>(senders) / cold_rate;
  return milliseconds{static_cast<std::int64_t>(std::ceil(seconds * 1'000.0))};
}

void update_cold_pacing(gateway_state& state, steady_time now) {
  if (state.services == nullptr) {
    return;
  }
  std::optional<fleet_members> members;
  for (auto& [name, row] : state.endpoints.rows) {
    if (!counts_as_cold(row, now)) {
      row.pacing = {};
      continue;
    }
    const pool* found = find_pool(*state.services, row.listing.pool);
    if (found != nullptr && found->cold_rate > 0.0) {
      if (!members) {
        members = members_of(state);
      }
      update_pacing(row, found->cold_rate, state, *members, now);
    }
  }
}

void count_cold_check(endpoint& row, steady_time now) {
  if (counts_as_cold(row, now)) {
    row.pacing.next_at = now + row.pacing.interval;
    row.pacing.sent_at = now;
  }
}

}  // namespace chestnuthead::gateway
