#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "chestnuthead/clock.h"

#include "Gateway/gateway_state.h"

/// Decides when a roll-out begins, is completed or is rolled back. Any gateway may write the
/// next step: the row is written on the condition that nobody else has changed it, so each
/// order gets one outcome, whatever is killed, paused or cut off.
namespace chestnuthead::gateway {

/// Time between two evaluations of the evidence.
inline constexpr std::chrono::milliseconds evaluation_interval{100};

/// Sums up the evidence of this gateway and its peers, and marks the new version as bad if the
/// evidence suffices. Returns true if the version was found bad just now.
bool evaluate_rollout(rollout& row, steady_time now);

/// A step that this gateway should write to the store.
struct rollout_step {
  pool_id pool;
  rollout_record record;
  /// Row version that the stored record must have; 0 if it must not exist.
  std::uint64_t expected_version = 0;
  /// The order's row must have this version; 0 if the record is written again after the store
  /// has lost it.
  std::uint64_t order_version = 0;
};

/// What the writer of a step knows besides the gateway's state.
struct rollout_moment {
  steady_time now{};
  /// This process's clock minus the store's.
  std::chrono::nanoseconds store_offset{0};
  /// The records were read in the store's present era.
  bool records_read_in_era = false;
};

/// Returns the step that is due, if any. Gateways take turns: those that come later in the
/// order's rendezvous order wait a little longer. Call it again with the result of the write.
std::optional<rollout_step> due_step(gateway_state& state, const rollout_moment& moment);

/// This gateway's reports for its peers.
std::vector<rollout_report> rollout_reports(const rollout_table& table);

/// Applies a peer's report. Returns true if the peer has found a version bad that this gateway
/// has not. Results that a peer had reported before it was restarted are kept.
bool apply_rollout_report(rollout_table& table, const node_id& sender,
                          const rollout_report& report);

}  // namespace chestnuthead::gateway
