#include "Control/configuration_commands.h"

#include <iostream>

#include <Poco/JSON/Array.h>

#include "Control/command.h"
#include "Control/document_file.h"
#include "Control/fleet_access.h"
#include "Control/questionnaire.h"

namespace chestnuthead {

namespace {

using Poco::JSON::Object;

constexpr const char* fleet_help = "Fleet file; the variable CHESTNUT_FLEET if not given.";
constexpr const char* json_help = "Print JSON in place of text.";

// Keeps what is out of service: only take-out and bring-back change that.
configuration_document copy_out_of_service_sets(configuration_document document,
                                                const configuration_document& current) {
  document.endpoints_out = current.endpoints_out;
  document.failure_domains_out = current.failure_domains_out;
  return document;
}

void print_differences(const std::vector<difference>& changes, bool json) {
  if (!json) {
    for (const difference& change : changes) {
      std::cout << describe(change) << "\n";
    }
    return;
  }
  Poco::JSON::Array list;
  for (const difference& change : changes) {
    Object entry(Poco::JSON_PRESERVE_KEY_ORDER);
    entry.set("key", change.key);
    entry.set("before", change.before);
    entry.set("after", change.after);
    list.add(entry);
  }
  Object object;
  object.set("differences", list);
  print_json(object);
}

}  // namespace

int run_questionnaire(const std::vector<std::string>& args) {
  const parsed_command line = read_command(
      args, "questionnaire", "Writes the empty form, with notes, to the standard output.", {}, 0);
  if (line.done) {
    return line.status;
  }
  std::cout << empty_form();
  return exit_done;
}

int run_generate(const std::vector<std::string>& args) {
  const parsed_command line =
      read_command(args, "generate ANSWERS",
                   "Writes the configuration that follows from an answer file.", {}, 1);
  if (line.done) {
    return line.status;
  }
  const auto document = read_document_file(line.arguments.front());
  if (const auto* failure = std::get_if<command_failure>(&document)) {
    return failure->status;
  }
  std::cout << format_configuration(std::get<configuration_document>(document)) << "\n";
  return exit_done;
}

int run_check(const std::vector<std::string>& args) {
  bool json = false;
  const parsed_command line = read_command(
      args, "check FILE", "Checks an answer file or a configuration and reports all faults.",
      {{"json", &json, json_help}}, 1);
  if (line.done) {
    return line.status;
  }
  const auto document = read_document_file(line.arguments.front());
  if (const auto* failure = std::get_if<command_failure>(&document)) {
    return failure->status;
  }
  const auto& valid = std::get<configuration_document>(document);
  if (json) {
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("valid", true);
    object.set("services", valid.pools.size());
    object.set("customers", valid.customers.size());
    object.set("failure_domains", valid.failure_domains.size());
    print_json(object);
    return exit_done;
  }
  std::cout << line.arguments.front() << " is valid: " << valid.pools.size() << " services, "
            << valid.customers.size() << " customers, " << valid.failure_domains.size()
            << " failure domains.\n";
  return exit_done;
}

int run_show(const std::vector<std::string>& args) {
  std::string fleet_path;
  const parsed_command line =
      read_command(args, "show", "Writes the configuration that the platform holds.",
                   {{"fleet", &fleet_path, fleet_help}}, 0);
  if (line.done) {
    return line.status;
  }
  const auto fleet = read_fleet(fleet_path);
  if (const auto* failure = std::get_if<command_failure>(&fleet)) {
    return failure->status;
  }
  platform_access platform(std::get<fleet_file>(fleet).platform_address);
  const auto row = read_configuration_row(platform);
  if (const auto* failure = std::get_if<command_failure>(&row)) {
    return failure->status;
  }
  const auto document = document_of(std::get<configuration_row>(row));
  if (const auto* failure = std::get_if<command_failure>(&document)) {
    return failure->status;
  }
  std::cout << format_configuration(std::get<configuration_document>(document)) << "\n";
  return exit_done;
}

int run_diff(const std::vector<std::string>& args) {
  std::string fleet_path;
  bool json = false;
  const parsed_command line = read_command(
      args, "diff FILE",
      "Says what applying FILE would change, and the version to give to apply --base.\n"
      "Exit status 1 if there is a difference.",
      {{"fleet", &fleet_path, fleet_help}, {"json", &json, json_help}}, 1);
  if (line.done) {
    return line.status;
  }
  const auto wanted = read_document_file(line.arguments.front());
  if (const auto* failure = std::get_if<command_failure>(&wanted)) {
    return failure->status;
  }
  const auto fleet = read_fleet(fleet_path);
  if (const auto* failure = std::get_if<command_failure>(&fleet)) {
    return failure->status;
  }
  platform_access platform(std::get<fleet_file>(fleet).platform_address);
  const auto row = read_configuration_row(platform);
  if (const auto* failure = std::get_if<command_failure>(&row)) {
    return failure->status;
  }
  const auto& current = std::get<configuration_row>(row);
  auto document = std::get<configuration_document>(wanted);
  const configuration_result parsed_current = parse_configuration(current.text);
  if (const auto* valid = std::get_if<configuration_document>(&parsed_current)) {
    document = copy_out_of_service_sets(document, *valid);
  }
  const auto changes = compare_documents(current.text, format_configuration(document));
  print_differences(changes, json);
  if (!json) {
    std::cout << (changes.empty() ? "No difference" : "Differences") << " to version "
              << current.version << ".\n";
  }
  return changes.empty() ? exit_done : exit_negative;
}

}  // namespace chestnuthead
