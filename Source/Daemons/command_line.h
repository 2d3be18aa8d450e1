#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/configuration.h"

#include "Net/json_log.h"

namespace chestnuthead {

/// What a daemon is asked to do.
enum class daemon_task : std::uint8_t { run, check_settings, print_settings };

struct daemon_command {
  daemon_task task = daemon_task::run;
  std::string settings_file;
  log_level lowest = log_level::info;
};

/// The process ends at once with this status.
struct exit_now {
  int status = 0;
};

/// Reads the command line of the daemon `program`; says what is wrong with it,
/// or what was asked for, by itself. A settings file that is not on the command
/// line is taken from the environment, if `file_variable` names its variable.
std::variant<daemon_command, exit_now> read_command_line(const char* program, int argc, char** argv,
                                                         const char* file_variable = nullptr);

/// The text of the settings file, or a message about it and `exit_now`.
std::variant<std::string, exit_now> read_settings_file(const std::string& file);

/// Says all faults of a settings file.
exit_now report_faults(const std::string& file, const std::vector<settings_fault>& faults);

/// Exit statuses.
inline constexpr int exit_bad_usage = 2;
inline constexpr int exit_bad_settings = 3;
inline constexpr int exit_cannot_start = 4;

}  // namespace chestnuthead
