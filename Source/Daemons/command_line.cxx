#include "Daemons/command_line.h"

#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include <getopt.h>

#include "Net/daemon_settings.h"

namespace chestnuthead {

namespace {

constexpr const char* version_text = "0.1.0";

constexpr std::array<option, 6> long_options{{
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'v'},
    {"check-settings", no_argument, nullptr, 'c'},
    {"print-settings", no_argument, nullptr, 'p'},
    {"log-level", required_argument, nullptr, 'l'},
    {nullptr, 0, nullptr, 0},
}};

void print_help(const char* program) {
  std::cout << "Usage: " << program << " [switches] SETTINGS.json\n"
            << "  --check-settings    check the settings file and end\n"
            << "  --print-settings    print the settings with defaults and end\n"
            << "  --log-level LEVEL   debug, info, warning or error; info if not given\n"
            << "  --version           print the version and end\n"
            << "  --help              print this and end\n";
}

std::optional<log_level> parse_log_level(const std::string& name) {
  for (const log_level level :
       {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
    if (name_of(level) == name) {
      return level;
    }
  }
  return std::nullopt;
}

/// Applies one option; returns a status if the program is to exit.
std::optional<exit_now> apply_option(int option_code, const char* program,
                                     daemon_command& command) {
  switch (option_code) {
    case 'h':
      print_help(program);
      return exit_now{EXIT_SUCCESS};
    case 'v':
      std::cout << program << " " << version_text << "\n";
      return exit_now{EXIT_SUCCESS};
    case 'c':
      command.task = daemon_task::check_settings;
      return std::nullopt;
    case 'p':
      command.task = daemon_task::print_settings;
      return std::nullopt;
    case 'l':
      if (const auto level = parse_log_level(optarg)) {
        command.lowest = *level;
        return std::nullopt;
      }
      std::cerr << program << ": --log-level holds \"" << optarg
                << "\", but debug, info, warning or error was expected.\n";
      return exit_now{exit_bad_usage};
    default:
      // getopt_long has already printed the error.
      std::cerr << "Run " << program << " --help for the list of switches.\n";
      return exit_now{exit_bad_usage};
  }
}

}  // namespace

std::variant<daemon_command, exit_now> read_command_line(const char* program, int argc, char** argv,
                                                         const char* file_variable) {
  daemon_command command;
  int option_code = getopt_long(argc, argv, "", long_options.data(), nullptr);
  while (option_code != -1) {
    if (const auto status = apply_option(option_code, program, command)) {
      return *status;
    }
    option_code = getopt_long(argc, argv, "", long_options.data(), nullptr);
  }
  const char* named = file_variable == nullptr ? nullptr : std::getenv(file_variable);
  if (optind == argc && named != nullptr) {
    command.settings_file = named;
    return command;
  }
  if (optind != argc - 1) {
    std::cerr << program << ": exactly one settings file was expected.\n";
    return exit_now{exit_bad_usage};
  }
  command.settings_file = argv[optind];
  return command;
}

std::variant<std::string, exit_now> read_settings_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in.is_open() || in.bad() || text.empty()) {
    std::cerr << file << ": a readable settings file with one JSON object was expected.\n";
    return exit_now{exit_bad_settings};
  }
  return text;
}

exit_now report_faults(const std::string& file, const std::vector<settings_fault>& faults) {
  for (const settings_fault& fault : faults) {
    std::cerr << describe_fault(file, fault) << "\n";
  }
  return {exit_bad_settings};
}

}  // namespace chestnuthead
