#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Long options of the tools, over getopt_long.
namespace chestnuthead {

/// Where the value of an option goes. A `bool` target takes no value; a list
/// takes values separated by commas.
using option_target =
    std::variant<bool*, std::string*, std::uint64_t*, double*, std::vector<std::string>*>;

/// One long option, without its dashes, and the line that `--help` prints.
struct option_spec {
  const char* name = "";
  option_target target;
  const char* help = "";
};

/// What a command line came to.
struct command_line {
  /// Arguments that are no options, in order.
  std::vector<std::string> arguments;
  /// One sentence if the command line is not valid.
  std::string error;
  /// True if `--help` was given.
  bool help = false;
};

/// Reads options into their targets. The first element of `words` names the
/// program.
command_line parse_command_line(const std::vector<std::string>& words,
                                const std::vector<option_spec>& options);

/// The lines that `--help` prints for the options.
std::string describe_options(const std::vector<option_spec>& options);

/// Parts of `text` between separators; empty parts are left out.
std::vector<std::string> split(const std::string& text, char separator);

/// Parses, and answers `--help` and faults on the terminal. Returns the exit
/// status if the program is done with that.
std::optional<int> handle_command_line(int argc, char** argv, const std::string& summary,
                                       const std::vector<option_spec>& options);

}  // namespace chestnuthead
