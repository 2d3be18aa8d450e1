#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Control/fleet_access.h"

namespace chestnuthead {

/// Which nodes have a version of the configuration in force.
struct confirmation {
  std::vector<std::string> confirmed;
  /// Nodes that answer with an older version, or not at all.
  std::vector<std::string> open;
  /// Nodes of the VM list whose status address the fleet file does not give.
  std::vector<std::string> unlisted;
};

/// Asks all nodes once. `vms` may be empty if the list can't be had.
confirmation ask_confirmation(const fleet_file& fleet, const std::optional<vm_snapshot>& vms,
                              std::uint64_t version);

/// Asks until every node has the version in force or the time is up. Shows
/// progress if the error stream is a terminal.
confirmation wait_for_confirmation(const fleet_file& fleet, platform_access& platform,
                                   std::uint64_t version, std::chrono::seconds time);

/// True if no node is open or unlisted.
bool is_complete(const confirmation& state);

/// One sentence that names the nodes that have not confirmed.
std::string describe(const confirmation& state, std::uint64_t version);

}  // namespace chestnuthead
