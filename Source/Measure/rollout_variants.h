#pragma once

#include <optional>

#include "chestnuthead/clock.h"
#include "chestnuthead/random_source.h"

#include "Gateway/gateway_state.h"
#include "Gateway/rollout_decision.h"

/// Other ways to carry out a roll-out, with which experiments compare the gateway's.
namespace chestnuthead::measure {

/// Sends fixed parts of the requests to the new version: 5%, then 25, 50 and 100% after 15, 35
/// and 55% of the duration.
gateway::chosen_scope choose_staged_scope(const gateway::rollout_table& table, const pool_id& pool,
                                          random_source& random, steady_time now);

/// The step that belongs to the stages: completion after 80% of the duration.
std::optional<gateway::rollout_step> due_staged_step(const gateway::gateway_state& state,
                                                     gateway::rollout& row, steady_time now);

/// Finds the version bad if it fails over twice as often as the old one and 5% more, or its
/// answers take 1.5 times as long on average, on one route with 20 answers.
void evaluate_by_ratio(gateway::rollout& row);

}  // namespace chestnuthead::measure
