#include "Control/inspection_commands.h"

#include <fstream>
#include <iostream>
#include <variant>

#include <Poco/JSON/Array.h>

#include "Control/command.h"
#include "Control/explanation.h"
#include "Control/fleet_access.h"
#include "Control/log_lines.h"
#include "Control/timeline_merge.h"
#include "Control/timeline_page.h"
#include "Net/json_text.h"

namespace chestnuthead {

namespace {

using Poco::JSON::Object;

constexpr const char* fleet_help = "Fleet file; the variable CHESTNUT_FLEET if not given.";
constexpr const char* json_help = "Print JSON in place of text.";
constexpr const char* log_help =
    "Read the lines of these files in place of a fleet; - is the input.";

// The events of all nodes, and the nodes that could not be reached.
struct merged_timeline {
  std::vector<timeline_event> events;
  std::vector<std::string> unreachable;
};

merged_timeline merge_timelines(const fleet_file& fleet) {
  merged_timeline merged;
  for (const auto& [node, address] : fleet.nodes) {
    const auto text = get_from_node(address, "/timeline");
    if (!text) {
      merged.unreachable.push_back(node);
      continue;
    }
    const std::vector<timeline_event> events = parse_events(*text);
    merged.events.insert(merged.events.end(), events.begin(), events.end());
  }
  order_events(merged.events);
  return merged;
}

/// Where a command reads events from: the log files if any are given, else the nodes of
/// the fleet.
struct event_source {
  std::string fleet_path;
  std::vector<std::string> logs;
};

std::variant<merged_timeline, command_failure> read_logs(const std::vector<std::string>& paths) {
  merged_timeline merged;
  std::size_t skipped = 0;
  for (const std::string& path : paths) {
    std::ifstream file;
    if (path != "-") {
      file.open(path);
      if (!file.is_open()) {
        return command_failure{fail(
            exit_bad_file, path + ": the file can't be read, but lines of a log were expected.")};
      }
    }
    parsed_log log = read_log_lines(path == "-" ? std::cin : file);
    skipped += log.skipped;
    merged.events.insert(merged.events.end(), log.events.begin(), log.events.end());
  }
  if (skipped > 0) {
    std::cerr << skipped << " lines without an event were skipped.\n";
  }
  order_events(merged.events);
  return merged;
}

std::variant<merged_timeline, command_failure> read_events(const event_source& source) {
  if (!source.logs.empty()) {
    return read_logs(source.logs);
  }
  const auto fleet = read_fleet(source.fleet_path);
  if (const auto* failure = std::get_if<command_failure>(&fleet)) {
    return *failure;
  }
  return merge_timelines(std::get<fleet_file>(fleet));
}

int report_unreachable(const merged_timeline& merged) {
  for (const std::string& node : merged.unreachable) {
    std::cerr << "The node " << node << " does not answer, so its events are missing.\n";
  }
  return merged.unreachable.empty() ? exit_done : exit_negative;
}

std::vector<option_spec> filter_specs(timeline_filter& filter) {
  return {{"request", &filter.request, "Keep events of this request."},
          {"chat", &filter.chat, "Keep events of this chat."},
          {"endpoint", &filter.endpoint, "Keep events of this endpoint."},
          {"failure-domain", &filter.failure_domain, "Keep events of this failure domain."},
          {"node", &filter.node, "Keep events of this process."},
          {"from-ms", &filter.from_ms, "Keep events from this calendar time on."},
          {"to-ms", &filter.to_ms, "Keep events up to this calendar time."}};
}

std::string flag(const Object& status, const char* key) {
  return json_flag(status, key) ? "yes" : "no";
}

std::vector<std::string> status_line(const std::string& node, const Object::Ptr& status) {
  if (status.isNull()) {
    return {node, "-", "-", "-", "-", "-", "no answer"};
  }
  const std::int64_t in_flight =
      json_number(*status, "in_flight", json_number(*status, "requests_in_flight"));
  const std::int64_t broken = json_number(*status, "invariants_broken");
  return {node,
          json_text(*status, "role"),
          json_text(*status, "failure_domain"),
          std::to_string(json_number(*status, "configuration_version")),
          std::to_string(in_flight),
          flag(*status, "ready"),
          broken > 0 ? std::to_string(broken) + " invariants broken"
                     : (json_flag(*status, "stopping") ? "stopping" : "")};
}

/// Prints why a request may have no events, and the restarts that may have lost them.
int report_missing_request(const std::vector<timeline_event>& events) {
  fail(exit_negative,
       "Nothing tells of it: it went well and is not in the sample, it met no process of "
       "these, or the process ended with it.");
  for (const timeline_event& start : restarts_of(events)) {
    std::cerr << start.node.value << " started anew at " << format_time(start.when.wall) << ".\n";
  }
  return exit_negative;
}

}  // namespace

int run_status(const std::vector<std::string>& args) {
  std::string fleet_path;
  bool json = false;
  const parsed_command line =
      read_command(args, "status",
                   "Shows all nodes of the fleet file and the configuration that each has in\n"
                   "force. Exit status 1 if a node does not answer.",
                   {{"fleet", &fleet_path, fleet_help}, {"json", &json, json_help}}, 0);
  if (line.done) {
    return line.status;
  }
  const auto fleet = read_fleet(fleet_path);
  if (const auto* failure = std::get_if<command_failure>(&fleet)) {
    return failure->status;
  }
  Object nodes;
  table_lines lines{{"NODE", "ROLE", "FAILURE DOMAIN", "VERSION", "IN FLIGHT", "READY", "NOTE"}};
  int status = exit_done;
  for (const auto& [node, answer] : fetch_status(std::get<fleet_file>(fleet))) {
    nodes.set(node, answer);
    lines.push_back(status_line(node, answer));
    status = answer.isNull() ? exit_negative : status;
  }
  if (json) {
    Object object;
    object.set("nodes", nodes);
    print_json(object);
  } else {
    std::cout << format_table(lines);
  }
  return status;
}

int run_timeline(const std::vector<std::string>& args) {
  event_source source;
  bool json = false;
  bool html = false;
  timeline_filter filter;
  std::vector<option_spec> options = filter_specs(filter);
  options.push_back({"fleet", &source.fleet_path, fleet_help});
  options.push_back({"log", &source.logs, log_help});
  options.push_back({"json", &json, json_help});
  options.push_back({"html", &html, "Print one self-contained page with a lane a process."});
  const parsed_command line = read_command(
      args, "timeline",
      "Merges the events that all nodes hold, or the lines of log files, into one time\n"
      "line. Exit status 1 if a node does not answer.",
      options, 0);
  if (line.done) {
    return line.status;
  }
  const auto result = read_events(source);
  if (const auto* failure = std::get_if<command_failure>(&result)) {
    return failure->status;
  }
  const auto& merged = std::get<merged_timeline>(result);
  const std::vector<timeline_event> events = filter_events(merged.events, filter);
  if (json) {
    Object object;
    object.set("events", format_events_json(events));
    print_json(object);
  } else {
    std::cout << (html ? format_timeline_page(events) : format_events_text(events));
  }
  return report_unreachable(merged);
}

int run_explain(const std::vector<std::string>& args) {
  event_source source;
  bool json = false;
  bool html = false;
  timeline_filter filter;
  const parsed_command line = read_command(
      args, "explain",
      "Tells for a request, or for each request of a chat, which endpoints were asked, what\n"
      "each said and where it landed. Give --request or --chat. From log files it adds what\n"
      "the request's gateway knew at that time.",
      {{"request", &filter.request, "Request to explain."},
       {"chat", &filter.chat, "Chat to explain."},
       {"fleet", &source.fleet_path, fleet_help},
       {"log", &source.logs, log_help},
       {"json", &json, json_help},
       {"html", &html, "Print one self-contained page with a lane a process."}},
      0);
  if (line.done) {
    return line.status;
  }
  if (filter.request.empty() == filter.chat.empty()) {
    return fail(exit_usage, "One of the options --request and --chat was expected.");
  }
  const auto result = read_events(source);
  if (const auto* failure = std::get_if<command_failure>(&result)) {
    return failure->status;
  }
  const auto& merged = std::get<merged_timeline>(result);
  std::vector<timeline_event> events = filter_events(merged.events, filter);
  if (events.empty()) {
    report_unreachable(merged);
    return report_missing_request(merged.events);
  }
  const std::vector<explanation> explanations = explain_requests(events, merged.events);
  if (json) {
    print_json(format_explanations_json(explanations));
  } else if (html) {
    std::cout << format_timeline_page(with_circumstances(std::move(events), merged.events));
  } else {
    std::cout << format_explanations_text(explanations);
  }
  return report_unreachable(merged);
}

}  // namespace chestnuthead
