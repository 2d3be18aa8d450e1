#pragma once

#include <chrono>

#include "Control/change.h"
#include "Control/fleet_access.h"

namespace chestnuthead {

/// How a command reports the result of its change.
struct report_options {
  bool json = false;
  /// Wait until all nodes have applied the new version.
  bool wait = false;
  std::chrono::seconds timeout{30};
};

/// Prints the result of a change and returns the exit status.
int report_change(const change_result& result, const fleet_file& fleet, platform_access& platform,
                  const report_options& options);

}  // namespace chestnuthead
