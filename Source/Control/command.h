#pragma once

#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

#include "Control/command_line.h"

/// What all commands of the operators' tool share.
namespace chestnuthead {

/// Exit statuses; scripts rely on them.
inline constexpr int exit_done = 0;
/// The answer is negative: documents differ, nodes have not confirmed, nodes
/// do not answer.
inline constexpr int exit_negative = 1;
inline constexpr int exit_usage = 2;
/// A file holds faults or can't be read.
inline constexpr int exit_bad_file = 3;
/// Another operator's change came first.
inline constexpr int exit_conflict = 4;
/// The platform can't be asked; nothing was changed.
inline constexpr int exit_unavailable = 5;
/// Whether a change was made is not known.
inline constexpr int exit_unknown = 6;

/// One command; `words` begin with its name.
struct command {
  const char* name = "";
  const char* summary = "";
  int (*run)(const std::vector<std::string>& words) = nullptr;
};

/// The line of a command, taken apart. When `done` is true the command ends
/// with `status`.
struct command_words {
  std::vector<std::string> arguments;
  bool done = false;
  int status = exit_done;
};

/// Parses a command's words. `usage` is its form, such as "generate ANSWERS".
command_words read_command(const std::vector<std::string>& words, const std::string& usage,
                           const std::string& help, const std::vector<option_spec>& options,
                           std::size_t arguments);

/// Prints one sentence to the error stream and returns `status`.
int fail(int status, const std::string& sentence);

/// Prints an object as one line.
void print_json(const Poco::JSON::Object& object);

/// Rows under a line of titles, in columns as wide as needed.
using table_lines = std::vector<std::vector<std::string>>;
std::string format_table(const table_lines& lines);

}  // namespace chestnuthead
