#include "Control/command_line.h"

#include <charconv>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <getopt.h>

namespace chestnuthead {

namespace {

constexpr int help_value = 1;
constexpr int first_option_value = 2;
constexpr int usage_status = 2;

template <class Number>
bool read_number(const std::string& text, Number& target) {
  const char* end = text.data() + text.size();
  const auto [stop, fault] = std::from_chars(text.data(), end, target);
  return fault == std::errc{} && stop == end;
}

// Stores the value of an option; false if it can't be converted to the target's type.
bool store(const option_target& target, const std::string& text) {
  if (auto* const* flag = std::get_if<bool*>(&target)) {
    **flag = true;
    return true;
  }
  if (auto* const* text_target = std::get_if<std::string*>(&target)) {
    **text_target = text;
    return true;
  }
  if (auto* const* list = std::get_if<std::vector<std::string>*>(&target)) {
    **list = split(text, ',');
    return true;
  }
  if (auto* const* count = std::get_if<std::uint64_t*>(&target)) {
    return read_number(text, **count);
  }
  return read_number(text, *std::get<double*>(target));
}

bool takes_value(const option_spec& option) {
  return !std::holds_alternative<bool*>(option.target);
}

std::vector<::option> as_getopt(const std::vector<option_spec>& options) {
  std::vector<::option> table;
  int value = first_option_value;
  for (const option_spec& option : options) {
    const int argument = takes_value(option) ? required_argument : no_argument;
    table.push_back({option.name, argument, nullptr, value++});
  }
  table.push_back({"help", no_argument, nullptr, help_value});
  table.push_back({nullptr, 0, nullptr, 0});
  return table;
}

}  // namespace

std::vector<std::string> split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, separator)) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

command_line parse_command_line(const std::vector<std::string>& args,
                                const std::vector<option_spec>& options) {
  command_line result;
  std::vector<std::string> copies = args;
  std::vector<char*> pointers;
  pointers.reserve(copies.size() + 1);
  for (std::string& word : copies) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);
  const std::vector<::option> table = as_getopt(options);
  optind = 0;  // Resets getopt, as a process may parse more than one command line.
  opterr = 0;
  const int count = static_cast<int>(copies.size());
  int value = 0;
  // With the leading ':' getopt_long distinguishes a missing value from an unknown option.
  while ((value = getopt_long(count, pointers.data(), ":", table.data(), nullptr)) != -1) {
    if (value == help_value) {
      result.help = true;
      return result;
    }
    if (value == ':') {
      result.error = "The option " + args[static_cast<std::size_t>(optind) - 1] + " needs a value.";
      return result;
    }
    if (value == '?') {
      result.error = "The option " + args[static_cast<std::size_t>(optind) - 1] +
                     " is not known or has a value that it does not take; --help lists all.";
      return result;
    }
    const option_spec& option = options[static_cast<std::size_t>(value - first_option_value)];
    const std::string text = takes_value(option) ? optarg : "";
    if (!store(option.target, text)) {
      result.error = "The option --" + std::string(option.name) + " has the value \"" + text +
                     "\", but a number was expected.";
      return result;
    }
  }
  for (int index = optind; index < count; ++index) {
    result.arguments.emplace_back(pointers[static_cast<std::size_t>(index)]);
  }
  return result;
}

std::string describe_options(const std::vector<option_spec>& options) {
  constexpr int name_width = 28;
  std::ostringstream text;
  for (const option_spec& option : options) {
    const std::string name =
        std::string("--") + option.name + (takes_value(option) ? " VALUE" : "");
    text << "  " << std::left << std::setw(name_width) << name << option.help << "\n";
  }
  text << "  " << std::left << std::setw(name_width) << "--help"
       << "Print this text.\n";
  return text.str();
}

std::optional<int> handle_command_line(int argc, char** argv, const std::string& summary,
                                       const std::vector<option_spec>& options) {
  const std::vector<std::string> args(argv, argv + argc);
  const command_line line = parse_command_line(args, options);
  if (line.help) {
    std::cout << summary << "\n\nOptions:\n" << describe_options(options);
    return 0;
  }
  if (!line.error.empty()) {
    std::cerr << line.error << "\n";
    return usage_status;
  }
  if (!line.arguments.empty()) {
    std::cerr << "The argument \"" << line.arguments.front()
              << "\" was not expected; --help lists the options.\n";
    return usage_status;
  }
  return std::nullopt;
}

}  // namespace chestnuthead
