#pragma once

#include <string>
#include <vector>

/// Commands that look at the fleet. Each returns an exit status.
namespace chestnuthead {

int run_status(const std::vector<std::string>& words);
int run_timeline(const std::vector<std::string>& words);
int run_explain(const std::vector<std::string>& words);

}  // namespace chestnuthead
