#pragma once

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "Daemons/command_line.h"
#include "Daemons/stop_signals.h"
#include "Net/daemon_settings.h"

namespace chestnuthead {

/// How often a daemon checks for a stop signal.
inline constexpr std::chrono::milliseconds stop_poll_interval{100};

/// Starts the node, waits until it has stopped on a signal or by request, and
/// shuts it down.
template <class Node, class Settings>
int run_node(const Settings& settings, log_level lowest) {
  block_stop_signals();
  Node node(settings, lowest);
  const std::string fault = node.start();
  if (!fault.empty()) {
    std::cerr << fault << "\n";
    return exit_cannot_start;
  }
  while (!node.stopped()) {
    if (wait_for_stop_signal(stop_poll_interval)) {
      node.request_stop();
    }
  }
  node.finish();
  return EXIT_SUCCESS;
}

/// Main function of a daemon: parses the command line and the settings, then runs
/// the node.
template <class Node, class Settings>
int daemon_main(const char* program, int argc, char** argv,
                settings_result<Settings> (*parse)(const std::string&)) {
  const auto command = read_command_line(program, argc, argv);
  if (const auto* status = std::get_if<exit_now>(&command)) {
    return status->status;
  }
  const auto& wanted = std::get<daemon_command>(command);
  const auto text = read_settings_file(wanted.settings_file);
  if (const auto* status = std::get_if<exit_now>(&text)) {
    return status->status;
  }
  const settings_result<Settings> result = parse(std::get<std::string>(text));
  if (const auto* faults = std::get_if<std::vector<settings_fault>>(&result)) {
    return report_faults(wanted.settings_file, *faults).status;
  }
  const auto& settings = std::get<Settings>(result);
  if (wanted.task == daemon_task::print_settings) {
    std::cout << format_settings(settings) << "\n";
  }
  return wanted.task == daemon_task::run ? run_node<Node>(settings, wanted.lowest) : EXIT_SUCCESS;
}

}  // namespace chestnuthead
