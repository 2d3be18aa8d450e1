#pragma once

#include "Measure/measure.h"

namespace chestnuthead {

/// Control bytes a second of each node, by kind, and the fleet's reads, at
/// several sizes. Policies: `ours`, and `poll`, in which every node follows the
/// table by itself with all the reads that the platform allows.
measure_result measure_control(const measure_options& options);

}  // namespace chestnuthead
