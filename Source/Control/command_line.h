#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Command line parser with long options, based on getopt_long.
namespace chestnuthead {

/// Variable that an option sets. A `bool` option takes no value; a list takes values
/// separated by commas.
using option_target =
    std::variant<bool*, std::string*, std::uint64_t*, double*, std::vector<std::string>*>;

/// One long option, without its dashes, and the line that `--help` prints.
struct option_spec {
  const char* name = "";
  option_target target;
  const char* help = "";
};

/// Result of parsing a command line.
struct command_line {
  /// Positional arguments, in order.
  std::vector<std::string> arguments;
  /// Error message; empty if the command line is valid.
  std::string error;
  /// True if `--help` was given.
  bool help = false;
};

/// Parses options into their targets. The first element of `args` is the name of the
/// program.
command_line parse_command_line(const std::vector<std::string>& args,
                                const std::vector<option_spec>& options);

/// The lines that `--help` prints for the options.
std::string describe_options(const std::vector<option_spec>& options);

/// Splits `text` at the separators and drops empty parts.
std::vector<std::string> split(const std::string& text, char separator);

/// Parses the command line of a program without positional arguments, and prints the
/// help or an error message. Returns the exit status if the program is to end.
std::optional<int> handle_command_line(int argc, char** argv, const std::string& summary,
                                       const std::vector<option_spec>& options);

}  // namespace chestnuthead
