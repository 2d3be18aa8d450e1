#pragma once

#include <Poco/JSON/Object.h>

#include "Measure/measured_fleet.h"

namespace chestnuthead {

/// Seconds until a change is in force on all nodes while some restart and the
/// table is down for a part of the run. Policies: `ours` and `poll`, as for
/// `measure_control`.
Poco::JSON::Object::Ptr measure_configuration(const control_options& options);

}  // namespace chestnuthead
