#pragma once

#include <string>
#include <vector>

/// Commands that take parts of the fleet out of service. Each returns an exit
/// status.
namespace chestnuthead {

int run_take_out(const std::vector<std::string>& words);
int run_bring_back(const std::vector<std::string>& words);
int run_stop(const std::vector<std::string>& words);

}  // namespace chestnuthead
