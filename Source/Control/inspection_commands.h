#pragma once

#include <string>
#include <vector>

/// Commands that show the state and the events of the fleet. Each returns an exit
/// status.
namespace chestnuthead {

int run_status(const std::vector<std::string>& args);
int run_timeline(const std::vector<std::string>& args);
int run_explain(const std::vector<std::string>& args);

}  // namespace chestnuthead
