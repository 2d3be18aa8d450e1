#pragma once

#include "Load/load_options.h"
#include "Load/tally.h"

namespace chestnuthead {

/// Runs all sessions against the routers and returns their results.
tally run_load(const load_options& options);

/// Waits until the plain services are idle, reads how often they executed each
/// key, and compares the counts with the outcomes reported to callers.
void check_executions(tally& total, const load_options& options);

}  // namespace chestnuthead
