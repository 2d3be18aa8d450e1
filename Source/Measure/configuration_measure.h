#pragma once

#include "Measure/measure.h"

namespace chestnuthead {

/// Seconds until a change is in force on all nodes while some restart and the
/// table is down for a part of the run. Policies: `ours` and `poll`, as for
/// `measure_control`.
measure_result measure_configuration(const measure_options& options);

}  // namespace chestnuthead
