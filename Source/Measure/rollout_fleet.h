#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chestnuthead/seeded_random.h"

#include "Gateway/gateway_state.h"
#include "Gateway/rollout_decision.h"
#include "Measure/event_queue.h"
#include "Measure/rollout_endpoint.h"
#include "Measure/rollout_setup.h"

/// Plays one roll-out: the decisions of many gateways before modelled endpoints of two
/// versions, a modelled store and messages that may be lost, on a virtual clock.
namespace chestnuthead::measure {

/// What came of one roll-out.
struct rollout_result {
  std::uint64_t seed = 0;
  std::uint32_t gateways = 0;
  std::uint32_t endpoints = 0;
  std::chrono::milliseconds duration{0};
  bool troubled = false;
  /// Kinds of trouble, separated by commas.
  std::string troubles;
  /// Outcomes that the store has accepted for the order, without repetitions.
  std::vector<gateway::rollout_phase> outcomes;
  /// When the first outcome was accepted, after the order.
  std::optional<std::chrono::milliseconds> decided_after;
  std::string reason;
  /// Requests that reached the service between the order and its deadline, and those of them
  /// that reached the new version.
  std::uint64_t requests = 0;
  std::uint64_t to_new = 0;
  /// Answers that the version's fault affected, until the deadline.
  std::uint64_t bad_answers = 0;
  /// Requests that reached the new version too long after its 50th bad answer.
  std::uint64_t sent_too_late = 0;
  /// Requests that were running on old endpoints when these were stopped, and those of them
  /// that can't be resumed.
  std::uint64_t broken_off = 0;
  std::uint64_t not_resumable = 0;
  std::uint64_t refused_writes = 0;
};

rollout_result play_rollout(const rollout_setup& setup, std::uint64_t seed);

}  // namespace chestnuthead::measure
