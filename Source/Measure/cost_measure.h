#pragma once

#include <Poco/JSON/Object.h>

#include "Measure/measured_fleet.h"

namespace chestnuthead {

/// Measures processor time and memory of one control plane with full tables, for
/// several fleet sizes. It uses real processor time, so that results differ
/// between runs and machines.
Poco::JSON::Object::Ptr measure_cost(const control_options& options);

/// True for the only policy of `measure_cost`, `ours`.
bool is_cost_policy(const std::string& policy);

}  // namespace chestnuthead
