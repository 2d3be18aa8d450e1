#include <chrono>
#include <iostream>

#include <Poco/JSON/Array.h>

#include "Control/change_report.h"
#include "Control/command.h"
#include "Control/configuration_commands.h"
#include "Control/document_file.h"
#include "Control/fleet_access.h"

namespace chestnuthead {

namespace {

constexpr const char* apply_help =
    "Puts the configuration of FILE (answers or a configuration) in force. What is out of\n"
    "service stays so. A first configuration needs no --base; a later one is applied only\n"
    "if the version is still the one that you have looked at, which `chestnutctl diff`\n"
    "and `chestnutctl status` name.";

struct apply_options {
  std::string fleet;
  std::string operation;
  std::string base_file;
  std::uint64_t base = 0;
  bool wait = false;
  std::uint64_t timeout_s = 30;
  bool json = false;
};

std::vector<option_spec> specs_of(apply_options& options) {
  return {{"fleet", &options.fleet, "Fleet file; the variable CHESTNUT_FLEET if not given."},
          {"base", &options.base, "Version that the change was made for."},
          {"base-file", &options.base_file, "What `show` wrote of that version, to compare with."},
          {"operation", &options.operation, "Unique name of this change; made up if not given."},
          {"wait", &options.wait, "Wait until every node has it in force."},
          {"timeout-s", &options.timeout_s, "Longest wait."},
          {"json", &options.json, "Print JSON in place of text."}};
}

// What the operator has looked at: the version, with its text if it is known.
std::variant<configuration_row, command_failure> base_of(const apply_options& options,
                                                         const configuration_row& current) {
  if (options.base == current.version) {
    return current;
  }
  configuration_row base{options.base, ""};
  if (!options.base_file.empty()) {
    const auto text = read_file(options.base_file);
    if (const auto* failure = std::get_if<command_failure>(&text)) {
      return *failure;
    }
    base.text = std::get<std::string>(text);
  }
  return base;
}

}  // namespace

int run_apply(const std::vector<std::string>& args) {
  apply_options options;
  const parsed_command line = read_command(args, "apply FILE", apply_help, specs_of(options), 1);
  if (line.done) {
    return line.status;
  }
  const auto wanted = read_document_file(line.arguments.front());
  if (const auto* failure = std::get_if<command_failure>(&wanted)) {
    return failure->status;
  }
  const auto fleet = read_fleet(options.fleet);
  if (const auto* failure = std::get_if<command_failure>(&fleet)) {
    return failure->status;
  }
  platform_access platform(std::get<fleet_file>(fleet).platform_address);
  const auto row = read_configuration_row(platform);
  if (const auto* failure = std::get_if<command_failure>(&row)) {
    return failure->status;
  }
  const auto& current = std::get<configuration_row>(row);
  const auto base = base_of(options, current);
  if (const auto* failure = std::get_if<command_failure>(&base)) {
    return failure->status;
  }
  auto document = std::get<configuration_document>(wanted);
  document.operation = options.operation.empty() ? make_operation_name() : options.operation;
  const configuration_result parsed_current = parse_configuration(current.text);
  if (const auto* valid = std::get_if<configuration_document>(&parsed_current)) {
    document.endpoints_out = valid->endpoints_out;
    document.failure_domains_out = valid->failure_domains_out;
  }
  const change_result result = write_configuration(
      platform.table(), std::get<configuration_row>(base), document, default_retry_policy());
  const report_options report{options.json, options.wait, std::chrono::seconds(options.timeout_s)};
  return report_change(result, std::get<fleet_file>(fleet), platform, report);
}

}  // namespace chestnuthead
