#pragma once

#include "Load/load_options.h"
#include "Load/tally.h"

namespace chestnuthead {

/// Plays all sessions against the routers and returns what they came to.
tally run_load(const load_options& options);

/// Reads how often the plain services executed each key, once nothing runs
/// there any more, and compares that with what callers were told.
void check_executions(tally& total, const load_options& options);

}  // namespace chestnuthead
