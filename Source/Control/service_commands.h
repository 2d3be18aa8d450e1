#pragma once

#include <string>
#include <vector>

/// Commands that take parts of the fleet out of service, bring them back or stop them.
/// Each returns an exit status.
namespace chestnuthead {

int run_take_out(const std::vector<std::string>& args);
int run_bring_back(const std::vector<std::string>& args);
int run_stop(const std::vector<std::string>& args);

}  // namespace chestnuthead
