#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/configuration.h"

namespace chestnuthead {

/// Addresses of the platform and of the nodes' status ports.
struct fleet_file {
  /// IP address and port.
  std::string platform_address;
  /// Status address of each node, by name of the node.
  std::map<std::string, std::string> nodes;
};

using fleet_file_result = std::variant<fleet_file, std::vector<settings_fault>>;

/// Parses {"platform_address": "IP:port", "nodes": {"router-1": "IP:port"}};
/// reports all faults at once.
fleet_file_result parse_fleet_file(const std::string& text);

}  // namespace chestnuthead
