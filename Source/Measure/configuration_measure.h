#pragma once

#include <Poco/JSON/Object.h>

#include "Measure/measured_fleet.h"

namespace chestnuthead {

/// Measures the seconds until a configuration change is in force on all nodes.
/// Some nodes restart and the table is down for part of the run. Policies: `ours`
/// and `poll`, as for `measure_control`.
Poco::JSON::Object::Ptr measure_configuration(const control_options& options);

}  // namespace chestnuthead
