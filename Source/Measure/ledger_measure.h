#pragma once

#include <Poco/JSON/Object.h>

#include "Measure/measured_fleet.h"

namespace chestnuthead {

/// Measures how many at-most-once calls per second agents can claim in a table
/// with a limited transaction rate, for several arrival rates. Policies: `ours`,
/// and `one-by-one`, in which each claim and each result is a separate
/// transaction. `nodes` is the number of agents.
Poco::JSON::Object::Ptr measure_ledger(const control_options& options);

/// True for the policies of `measure_ledger`.
bool is_ledger_policy(const std::string& policy);

}  // namespace chestnuthead
