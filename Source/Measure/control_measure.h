#pragma once

#include <Poco/JSON/Object.h>

#include "Measure/measured_fleet.h"

namespace chestnuthead {

/// Measures the control traffic of each node in bytes per second, by kind, and
/// the platform reads of the fleet, for several fleet sizes. Policies: `ours`, and
/// `poll`, in which every node polls the table itself with the platform's whole
/// read budget.
Poco::JSON::Object::Ptr measure_control(const control_options& options);

}  // namespace chestnuthead
