#pragma once

#include <chrono>

#include "Control/change.h"
#include "Control/fleet_access.h"

namespace chestnuthead {

/// How a command reports its change.
struct report_terms {
  bool json = false;
  /// Wait until all nodes have the new version in force.
  bool wait = false;
  std::chrono::seconds timeout{30};
};

/// Prints what became of a change and returns the exit status.
int report_change(const change_result& result, const fleet_file& fleet, platform_access& platform,
                  const report_terms& terms);

}  // namespace chestnuthead
