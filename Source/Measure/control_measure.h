#pragma once

#include <Poco/JSON/Object.h>

#include "Measure/measured_fleet.h"

namespace chestnuthead {

/// Control bytes a second of each node, by kind, and the fleet's reads, at
/// several sizes. Policies: `ours`, and `poll`, in which every node follows the
/// table by itself with all the reads that the platform allows.
Poco::JSON::Object::Ptr measure_control(const control_options& options);

}  // namespace chestnuthead
