#pragma once

#include <cstdint>
#include <ostream>
#include <vector>

#include <Poco/JSON/Object.h>

#include "Measure/rollout_fleet.h"

/// Plays many seeded roll-outs and sums them up.
namespace chestnuthead::measure {

/// Plays the seeds of the setup on several threads, in any order; the results are in the order
/// of the seeds. Progress is written to `progress` unless it is null.
std::vector<rollout_result> play_rollouts(const rollout_setup& setup, std::ostream* progress);

/// The figures of all results as one JSON object, with the upper bounds of 95% confidence
/// intervals of the shares (Wilson). Lists the seeds in which something went wrong.
Poco::JSON::Object::Ptr summarize_rollouts(const rollout_setup& setup,
                                           const std::vector<rollout_result>& results);

}  // namespace chestnuthead::measure
