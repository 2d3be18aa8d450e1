#pragma once

#include <Poco/JSON/Object.h>

#include "Measure/measured_fleet.h"

namespace chestnuthead {

/// At-most-once calls a second that agents carry through a table with a bounded
/// number of transactions a second, at several rates of arrival. Policies:
/// `ours`, and `one-by-one`, in which each claim and each result is a
/// transaction of its own. `nodes` are the agents.
Poco::JSON::Object::Ptr measure_ledger(const control_options& options);

/// True for the policies of `measure_ledger`.
bool is_ledger_policy(const std::string& policy);

}  // namespace chestnuthead
