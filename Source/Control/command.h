#pragma once

#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

#include "Control/command_line.h"

/// Exit statuses, command lines and output shared by all commands of chestnutctl.
namespace chestnuthead {

/// Exit statuses; scripts depend on these values.
inline constexpr int exit_done = 0;
/// The result is negative: documents differ, or nodes have not confirmed a version
/// or do not answer.
inline constexpr int exit_negative = 1;
inline constexpr int exit_usage = 2;
/// A file is not valid or can't be read.
inline constexpr int exit_bad_file = 3;
/// Another operator's change was written first.
inline constexpr int exit_conflict = 4;
/// The platform can't be reached; nothing was changed.
inline constexpr int exit_unavailable = 5;
/// It is not known whether the change was made.
inline constexpr int exit_unknown = 6;

/// One command; `args` begins with its name.
struct command {
  const char* name = "";
  const char* summary = "";
  int (*run)(const std::vector<std::string>& args) = nullptr;
};

/// Arguments of a command. If `done` is true, the command line was not valid or help
/// was printed, and the command returns `status`.
struct parsed_command {
  std::vector<std::string> arguments;
  bool done = false;
  int status = exit_done;
};

/// Parses the arguments of a command. `usage` is its synopsis, such as
/// "generate ANSWERS".
parsed_command read_command(const std::vector<std::string>& args, const std::string& usage,
                            const std::string& help, const std::vector<option_spec>& options,
                            std::size_t argument_count);

/// Prints a message to the standard error and returns `status`.
int fail(int status, const std::string& message);

/// Prints an object as one line of JSON.
void print_json(const Poco::JSON::Object& object);

/// The rows of a table, the first of which is its header.
using table_lines = std::vector<std::vector<std::string>>;
/// Aligns the cells in columns.
std::string format_table(const table_lines& lines);

}  // namespace chestnuthead
