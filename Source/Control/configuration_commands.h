#pragma once

#include <string>
#include <vector>

/// Commands for the questionnaire and the configuration. Each returns an exit status.
namespace chestnuthead {

int run_questionnaire(const std::vector<std::string>& args);
int run_generate(const std::vector<std::string>& args);
int run_check(const std::vector<std::string>& args);
int run_show(const std::vector<std::string>& args);
int run_diff(const std::vector<std::string>& args);
int run_apply(const std::vector<std::string>& args);

}  // namespace chestnuthead
