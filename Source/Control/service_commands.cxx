#include "Control/service_commands.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

#include "Control/change_report.h"
#include "Control/command.h"
#include "Control/fleet_access.h"
#include "Control/service_change.h"

namespace chestnuthead {

namespace {

constexpr std::chrono::milliseconds poll_interval{100};

struct service_options {
  std::string fleet;
  std::string operation;
  bool unlisted = false;
  bool no_wait = false;
  std::uint64_t timeout_s = 30;
  bool json = false;
};

std::vector<option_spec> specs_of(service_options& options) {
  return {{"fleet", &options.fleet, "Fleet file; the variable CHESTNUT_FLEET if not given."},
          {"operation", &options.operation, "Unique name of this change; made up if not given."},
          {"unlisted", &options.unlisted, "Take an endpoint that the VM list does not show."},
          {"no-wait", &options.no_wait, "Do not wait until every node has it in force."},
          {"timeout-s", &options.timeout_s, "Longest wait."},
          {"json", &options.json, "Print JSON in place of text."}};
}

bool is_listed(platform_access& platform, const std::string& node) {
  const auto vms = platform.list_vms();
  return vms && std::any_of(vms->vms.begin(), vms->vms.end(),
                            [&node](const vm_entry& vm) { return vm.node.value == node; });
}

int run_service_change(const service_change& change, const service_options& options) {
  const auto fleet = read_fleet(options.fleet);
  if (const auto* failure = std::get_if<command_failure>(&fleet)) {
    return failure->status;
  }
  platform_access platform(std::get<fleet_file>(fleet).platform_address);
  const bool take_out = change.action == service_action::take_out;
  if (take_out && change.target == service_target::endpoint && !options.unlisted &&
      !is_listed(platform, change.name)) {
    return fail(exit_bad_file, "The VM list does not show the endpoint \"" + change.name +
                                   "\"; --unlisted takes it out all the same.");
  }
  const service_change_result result =
      apply_service_change(platform.table(), change, default_retry_policy());
  if (const auto* fault = std::get_if<invalid_service_change>(&result)) {
    return fail(exit_bad_file, fault->message);
  }
  const report_options report{options.json, !options.no_wait,
                              std::chrono::seconds(options.timeout_s)};
  return report_change(std::get<change_result>(result), std::get<fleet_file>(fleet), platform,
                       report);
}

int run_service_command(const std::vector<std::string>& args, service_action action,
                        const std::string& name, const std::string& help) {
  service_options options;
  const parsed_command line =
      read_command(args, name + " failure-domain|endpoint NAME", help, specs_of(options), 2);
  if (line.done) {
    return line.status;
  }
  const std::string& kind = line.arguments[0];
  if (kind != "failure-domain" && kind != "endpoint") {
    return fail(exit_usage,
                "The word \"" + kind + "\" is not known; failure-domain or endpoint was expected.");
  }
  service_change change;
  change.target = kind == "endpoint" ? service_target::endpoint : service_target::failure_domain;
  change.action = action;
  change.name = line.arguments[1];
  change.operation = options.operation.empty() ? make_operation_name() : options.operation;
  return run_service_change(change, options);
}

// Waits until the process has ended, which shows in its status port no longer answering.
bool wait_for_exit(const std::string& address, std::chrono::seconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (get_from_node(address, "/status")) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(poll_interval);
  }
  return true;
}

}  // namespace

int run_take_out(const std::vector<std::string>& args) {
  return run_service_command(
      args, service_action::take_out, "take-out",
      "Takes a failure domain or an endpoint out of service: it gets no new work, what\n"
      "is in flight goes on. Waits until every node has that in force, and names the\n"
      "nodes that have not.");
}

int run_bring_back(const std::vector<std::string>& args) {
  return run_service_command(args, service_action::bring_back, "bring-back",
                             "Brings a failure domain or an endpoint back into service.");
}

int run_stop(const std::vector<std::string>& args) {
  std::string fleet_path;
  std::uint64_t timeout_s = 60;
  const parsed_command line = read_command(
      args, "stop NODE",
      "Stops a router or an agent gracefully: it takes no new work, finishes what is in\n"
      "flight, and ends. Waits until it has ended.",
      {{"fleet", &fleet_path, "Fleet file; the variable CHESTNUT_FLEET if not given."},
       {"timeout-s", &timeout_s, "Longest wait."}},
      1);
  if (line.done) {
    return line.status;
  }
  const std::string& node = line.arguments.front();
  const auto fleet = read_fleet(fleet_path);
  if (const auto* failure = std::get_if<command_failure>(&fleet)) {
    return failure->status;
  }
  const auto& nodes = std::get<fleet_file>(fleet).nodes;
  if (!nodes.contains(node)) {
    return fail(exit_bad_file, "The fleet file does not list the node \"" + node + "\".");
  }
  const std::string& address = nodes.at(node);
  if (!post_to_node(address, "/stop")) {
    return fail(exit_negative, "The node " + node + " did not accept the request to stop.");
  }
  if (!wait_for_exit(address, std::chrono::seconds(timeout_s))) {
    return fail(exit_negative,
                "The node " + node + " has not ended yet; it still has requests in flight.");
  }
  std::cout << "The node " << node << " has ended.\n";
  return exit_done;
}

}  // namespace chestnuthead
