#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/configuration.h"

#include "Net/json_log.h"

namespace chestnuthead {

/// The mode selected on the command line.
enum class daemon_task : std::uint8_t { run, check_settings, print_settings };

struct daemon_command {
  daemon_task task = daemon_task::run;
  std::string settings_file;
  log_level lowest = log_level::info;
};

/// Tells the caller to exit the process with this status.
struct exit_now {
  int status = 0;
};

/// Parses the command line of the daemon `program`. Prints usage errors, help and
/// version itself and returns `exit_now` for them. If the command line has no
/// settings file, its path is read from the environment variable `file_variable`.
std::variant<daemon_command, exit_now> read_command_line(const char* program, int argc, char** argv,
                                                         const char* file_variable = nullptr);

/// Returns the text of the settings file; prints an error and returns `exit_now`
/// if it can't be read.
std::variant<std::string, exit_now> read_settings_file(const std::string& file);

/// Prints all errors found in a settings file.
exit_now report_faults(const std::string& file, const std::vector<settings_fault>& faults);

// Exit statuses of the daemons.
inline constexpr int exit_bad_usage = 2;
inline constexpr int exit_bad_settings = 3;
inline constexpr int exit_cannot_start = 4;

}  // namespace chestnuthead
