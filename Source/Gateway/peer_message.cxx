#include "Gateway/peer_message.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include "Base/hashing.h"
#include "Gateway/endpoint_health.h"
#include "Gateway/incarnation_proof.h"
#include "Gateway/rollout_decision.h"

namespace chestnuthead::gateway {

namespace {

using hash_list = std::vector<std::uint64_t>;

hash_list unreachable_before(const peer_table& table, const node_id& sender) {
  const auto place = table.rows.find(sender);
  return place == table.rows.end() ? hash_list{} : place->second.message.unreachable;
}

hash_list newly_lost(hash_list before, hash_list lost) {
  if (lost == before) {
    return {};
  }
  std::sort(before.begin(), before.end());
  std::sort(lost.begin(), lost.end());
  hash_list newly_lost_hashes;
  std::set_difference(lost.begin(), lost.end(), before.begin(), before.end(),
                      std::back_inserter(newly_lost_hashes));
  return newly_lost_hashes;
}

/// Records the report. Returns true if another peer has recently reported the same endpoint.
bool is_confirmed_by_second_peer(loss_reports& losses, std::uint64_t hash, const node_id& sender,
                                 steady_time now) {
  const auto [place, is_first] = losses.try_emplace(hash, loss_report{sender, now});
  if (is_first) {
    return false;
  }
  const loss_report before = place->second;
  place->second = {sender, now};
  return before.sender != sender && now - before.received_at < loss_report_lifetime;
}

/// Only endpoints that the sender has newly lost become suspect: a sender without network
/// repeats the same ones in each message. A single gateway may have lost only its own network
/// path, so a few designated gateways check the endpoint first, and all others only after a
/// second gateway has lost it too.
void suspect_endpoints(gateway_state& state, const node_id& sender,
                       const hash_list& newly_lost_hashes, steady_time now) {
  for (const std::uint64_t hash : newly_lost_hashes) {
    const auto place = state.endpoints.by_hash.find(hash);
    if (place == state.endpoints.by_hash.end()) {
      continue;
    }
    if (is_confirmed_by_second_peer(state.losses, hash, sender, now) ||
        is_designated_checker(state.peers, state.self, hash, now)) {
      note_loss_report(*place->second, now);
    }
  }
}

void apply_part_reports(gateway_state& state, const part_reports& reports, steady_time now) {
  for (const part_crash& crash : reports.crashes) {
    const auto place = state.endpoints.by_hash.find(crash.endpoint);
    if (place != state.endpoints.by_hash.end()) {
      record_reported_crash(state.parts, crash, hash_text(place->second->listing.pool.value), now);
    }
  }
  for (const part_clearance& cleared : reports.cleared) {
    record_reported_clearance(state.parts, cleared, now);
  }
  for (const std::uint64_t part : reports.refused) {
    adopt_refusal(state.parts, part, now);
  }
}

void apply_vouches(gateway_state& state, const peer_message& message) {
  if (!message.unvouched) {
    return;
  }
  for (const peer_load& load : message.loads) {
    const auto place = state.endpoints.by_hash.find(load.endpoint);
    if (place != state.endpoints.by_hash.end() &&
        place->second->proof.doubt == incarnation_doubt::may_have_restarted &&
        std::find(message.unvouched->begin(), message.unvouched->end(), load.endpoint) ==
            message.unvouched->end()) {
      prove_incarnation(*place->second);
    }
  }
}

void drop_expired_reports(loss_reports& losses, steady_time now) {
  std::erase_if(losses, [now](const auto& entry) {
    return now - entry.second.received_at >= loss_report_lifetime;
  });
}

}  // namespace

bool apply_peer_message(gateway_state& state, const peer_message& message, steady_time now) {
  const hash_list before = unreachable_before(state.peers, message.sender);
  if (!record_peer_message(state.peers, message, now)) {
    return false;
  }
  for (const crash_report& crash : message.crashes) {
    record_crash(state.suspects, crash, now);
  }
  apply_part_reports(state, message.parts, now);
  for (const prefix_placement& placement : message.placements) {
    record_placement(state.holders, placement, now);
    const auto place = state.endpoints.by_hash.find(placement.endpoint);
    if (place != state.endpoints.by_hash.end()) {
      note_arrival(*place->second, now);
    }
  }
  for (const prefix_placement& shorter : message.shorter_prefixes) {
    record_placement(state.holders, shorter, now);
  }
  for (const incarnation_id& leaving : message.leaving_endpoints) {
    apply_leaving_report(state.endpoints, leaving, now);
  }
  for (const check_report& check : message.checks) {
    apply_check_report(state.endpoints, check, now);
  }
  apply_vouches(state, message);
  for (const rollout_report& report : message.rollouts) {
    apply_rollout_report(state.rollouts, message.sender, report);
  }
  const hash_list newly_lost_hashes = newly_lost(before, message.unreachable);
  if (!newly_lost_hashes.empty()) {
    drop_expired_reports(state.losses, now);
    suspect_endpoints(state, message.sender, newly_lost_hashes, now);
  }
  return true;
}

}  // namespace chestnuthead::gateway
