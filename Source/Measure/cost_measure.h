#pragma once

#include <Poco/JSON/Object.h>

#include "Measure/measured_fleet.h"

namespace chestnuthead {

/// Processor time and memory of one control plane that knows fleets of several
/// sizes, with full tables. Times are this machine's, so that the line differs
/// from run to run.
Poco::JSON::Object::Ptr measure_cost(const control_options& options);

/// Only `ours`.
bool is_cost_policy(const std::string& policy);

}  // namespace chestnuthead
