#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Control/fleet_access.h"

namespace chestnuthead {

/// Which nodes have applied a version of the configuration.
struct confirmation {
  std::vector<std::string> confirmed;
  /// Nodes that report an older version or do not answer.
  std::vector<std::string> unconfirmed;
  /// Nodes of the VM list that the fleet file does not list.
  std::vector<std::string> unlisted;
};

/// Queries all nodes once. `vms` is empty if the VM list can't be read.
confirmation fetch_confirmation(const fleet_file& fleet, const std::optional<vm_snapshot>& vms,
                                std::uint64_t version);

/// Polls until every node has applied the version or the timeout has passed. Shows
/// progress if the standard error is a terminal.
confirmation wait_for_confirmation(const fleet_file& fleet, platform_access& platform,
                                   std::uint64_t version, std::chrono::seconds timeout);

/// True if no node is unconfirmed or unlisted.
bool is_complete(const confirmation& state);

/// A message that names the nodes that have not confirmed.
std::string describe(const confirmation& state, std::uint64_t version);

}  // namespace chestnuthead
