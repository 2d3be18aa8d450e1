#include <array>
#include <iostream>

#include "Control/command.h"
#include "Control/configuration_commands.h"
#include "Control/inspection_commands.h"
#include "Control/service_commands.h"
#include "Control/where_command.h"

namespace {

using chestnuthead::command;

constexpr std::array<command, 13> commands{{
    {"questionnaire", "write the empty form", chestnuthead::run_questionnaire},
    {"generate", "make a configuration from an answer file", chestnuthead::run_generate},
    {"check", "check an answer file or a configuration", chestnuthead::run_check},
    {"show", "write the configuration in force", chestnuthead::run_show},
    {"diff", "say what a change would alter", chestnuthead::run_diff},
    {"apply", "put a configuration in force", chestnuthead::run_apply},
    {"take-out", "take a failure domain or an endpoint out", chestnuthead::run_take_out},
    {"bring-back", "bring it back", chestnuthead::run_bring_back},
    {"stop", "stop a router or an agent gracefully", chestnuthead::run_stop},
    {"status", "show all nodes", chestnuthead::run_status},
    {"timeline", "merge the events of all nodes", chestnuthead::run_timeline},
    {"explain", "say why a request or chat landed where it did", chestnuthead::run_explain},
    {"where", "say where a gateway would send a request now", chestnuthead::run_where},
}};

void print_help(std::ostream& out) {
  chestnuthead::table_lines lines;
  for (const command& entry : commands) {
    lines.push_back({"", entry.name, entry.summary});
  }
  out << "chestnutctl COMMAND [OPTIONS]\n\n"
      << chestnuthead::format_table(lines) << "\nchestnutctl COMMAND --help says more.\n"
      << "Exit status: 0 done, 1 negative answer, 2 wrong command line, 3 faulty file,\n"
      << "4 another operator came first, 5 platform not available, 6 outcome not known.\n";
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  if (args.empty() || args.front() == "--help") {
    print_help(args.empty() ? std::cerr : std::cout);
    return args.empty() ? chestnuthead::exit_usage : chestnuthead::exit_done;
  }
  for (const command& entry : commands) {
    if (args.front() == entry.name) {
      return entry.run(args);
    }
  }
  return chestnuthead::fail(
      chestnuthead::exit_usage,
      "The command \"" + args.front() + "\" is not known; chestnutctl --help lists all.");
}
