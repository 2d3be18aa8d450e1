#include "Control/command.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace chestnuthead {

namespace {

constexpr std::size_t column_gap = 2;

std::vector<std::size_t> column_widths(const table_lines& lines) {
  std::vector<std::size_t> widths;
  for (const std::vector<std::string>& line : lines) {
    widths.resize(std::max(widths.size(), line.size()), 0);
    for (std::size_t column = 0; column < line.size(); ++column) {
      widths[column] = std::max(widths[column], line[column].size());
    }
  }
  return widths;
}

}  // namespace

parsed_command read_command(const std::vector<std::string>& args, const std::string& usage,
                            const std::string& help, const std::vector<option_spec>& options,
                            std::size_t argument_count) {
  parsed_command result;
  const command_line line = parse_command_line(args, options);
  result.arguments = line.arguments;
  result.done = true;
  if (line.help) {
    std::cout << "chestnutctl " << usage << "\n\n"
              << help << "\n\nOptions:\n"
              << describe_options(options);
    return result;
  }
  if (!line.error.empty()) {
    result.status = fail(exit_usage, line.error);
    return result;
  }
  if (line.arguments.size() != argument_count) {
    result.status = fail(exit_usage, "The command has the form: chestnutctl " + usage + ".");
    return result;
  }
  result.done = false;
  return result;
}

int fail(int status, const std::string& message) {
  std::cerr << message << "\n";
  return status;
}

void print_json(const Poco::JSON::Object& object) {
  object.stringify(std::cout);
  std::cout << "\n";
}

std::string format_table(const table_lines& lines) {
  const std::vector<std::size_t> widths = column_widths(lines);
  std::ostringstream text;
  for (const std::vector<std::string>& line : lines) {
    for (std::size_t column = 0; column < line.size(); ++column) {
      const bool last = column + 1 == line.size();
      const std::size_t width = last ? 0 : widths[column] + column_gap;
      text << std::left << std::setw(static_cast<int>(width)) << line[column];
    }
    text << "\n";
  }
  return text.str();
}

}  // namespace chestnuthead
