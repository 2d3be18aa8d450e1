#pragma once

#include <string>

#include "Gateway/rollout.h"
#include "gateway_fixture.h"

/// Test fixture: a pool with endpoints of an old and a new version, and an order to roll the
/// new one out.
namespace chestnuthead::gateway {

inline constexpr std::chrono::seconds test_rollout_duration{20};

inline rollout_order test_order(const std::string& to = "v2") {
  return {engine_pool, to, test_rollout_duration, {11, 1}};
}

inline rollout_record test_record(rollout_phase phase, const std::string& to = "v2") {
  rollout_record record;
  record.order = {11, 1};
  record.to = to;
  record.duration = test_rollout_duration;
  record.phase = phase;
  return record;
}

inline void list_version(gateway_state& state, const std::string& name, const std::string& version,
                         steady_time now) {
  endpoint_listing listing = listing_of(name, engine_pool);
  listing.version = version;
  note_version(state.rollouts, engine_pool, version, now);
  list_endpoint(state.endpoints, listing, now);
}

/// A state with `old_endpoints` endpoints of version v1, and the same number of v2 for which an
/// order was given at `test_start`.
inline gateway_state rollout_state(int old_endpoints = 8) {
  gateway_state state = test_state(0);
  state.self = node_id{"gateway-1"};
  state.rollouts.records_known = true;
  state.endpoints_known = true;
  for (int place = 0; place < old_endpoints; ++place) {
    list_version(state, "old-" + std::to_string(place), "v1", test_start - std::chrono::minutes{1});
  }
  accept_versions(state.rollouts, test_start - std::chrono::seconds{1});
  apply_rollout_order(state.rollouts, test_order(), test_start, test_start);
  for (int place = 0; place < old_endpoints; ++place) {
    list_version(state, "new-" + std::to_string(place), "v2", test_start);
  }
  return state;
}

inline rollout& test_rollout(gateway_state& state) {
  return state.rollouts.rows[engine_pool];
}

/// Adds results of one kind of request: `failures` of `answers` are errors, the others take
/// `time`.
inline void add_results(evidence_counts& counts, const evidence_key& key, std::uint32_t answers,
                        std::uint32_t failures, std::chrono::milliseconds time) {
  for (std::uint32_t number = 0; number < answers; ++number) {
    evidence_result result;
    result.failed = number < failures;
    result.first = time;
    count_result(counts, key, result);
  }
}

}  // namespace chestnuthead::gateway
