#include "Control/watch_commands.h"

#include <iostream>

#include <Poco/JSON/Array.h>

#include "Control/command.h"
#include "Control/explanation.h"
#include "Control/fleet_access.h"
#include "Control/timeline_merge.h"
#include "Control/timeline_page.h"
#include "Net/json_text.h"

namespace chestnuthead {

namespace {

using Poco::JSON::Object;

constexpr const char* fleet_help = "Fleet file; the variable CHESTNUT_FLEET if not given.";
constexpr const char* json_help = "Print JSON in place of text.";

// The events of all nodes, and the nodes that did not answer.
struct merged_timeline {
  std::vector<timeline_event> events;
  std::vector<std::string> silent;
};

merged_timeline merge_timelines(const fleet_file& fleet, const timeline_filter& filter) {
  merged_timeline merged;
  for (const auto& [node, address] : fleet.nodes) {
    const auto text = ask_node(address, "/timeline");
    if (!text) {
      merged.silent.push_back(node);
      continue;
    }
    const std::vector<timeline_event> events = parse_events(*text);
    merged.events.insert(merged.events.end(), events.begin(), events.end());
  }
  order_events(merged.events);
  merged.events = filter_events(merged.events, filter);
  return merged;
}

int report_silent(const merged_timeline& merged) {
  for (const std::string& node : merged.silent) {
    std::cerr << "The node " << node << " does not answer, so its events are missing.\n";
  }
  return merged.silent.empty() ? exit_done : exit_negative;
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

}  // namespace

int run_status(const std::vector<std::string>& words) {
  std::string fleet_path;
  bool json = false;
  const command_words line =
      read_command(words, "status",
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
  for (const auto& [node, answer] : ask_status(std::get<fleet_file>(fleet))) {
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

int run_timeline(const std::vector<std::string>& words) {
  std::string fleet_path;
  bool json = false;
  bool html = false;
  timeline_filter filter;
  std::vector<option_spec> options = filter_specs(filter);
  options.push_back({"fleet", &fleet_path, fleet_help});
  options.push_back({"json", &json, json_help});
  options.push_back({"html", &html, "Print one self-contained page with a lane a process."});
  const command_words line =
      read_command(words, "timeline",
                   "Merges the events that all nodes hold into one time line. Exit status 1 if\n"
                   "a node does not answer.",
                   options, 0);
  if (line.done) {
    return line.status;
  }
  const auto fleet = read_fleet(fleet_path);
  if (const auto* failure = std::get_if<command_failure>(&fleet)) {
    return failure->status;
  }
  const merged_timeline merged = merge_timelines(std::get<fleet_file>(fleet), filter);
  if (json) {
    Object object;
    object.set("events", format_events_json(merged.events));
    print_json(object);
  } else {
    std::cout << (html ? format_timeline_page(merged.events) : format_events_text(merged.events));
  }
  return report_silent(merged);
}

int run_explain(const std::vector<std::string>& words) {
  std::string fleet_path;
  bool json = false;
  timeline_filter filter;
  const command_words line = read_command(
      words, "explain",
      "Tells for a request, or for each request of a chat, which endpoints were asked, what\n"
      "each said and where it landed. Give --request or --chat.",
      {{"request", &filter.request, "Request to explain."},
       {"chat", &filter.chat, "Chat to explain."},
       {"fleet", &fleet_path, fleet_help},
       {"json", &json, json_help}},
      0);
  if (line.done) {
    return line.status;
  }
  if (filter.request.empty() == filter.chat.empty()) {
    return fail(exit_usage, "One of the options --request and --chat was expected.");
  }
  const auto fleet = read_fleet(fleet_path);
  if (const auto* failure = std::get_if<command_failure>(&fleet)) {
    return failure->status;
  }
  const merged_timeline merged = merge_timelines(std::get<fleet_file>(fleet), filter);
  Poco::JSON::Array requests;
  for (const explanation& entry : explain_requests(merged.events)) {
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    Poco::JSON::Array sentences;
    object.set("request", entry.request);
    for (const std::string& sentence : entry.sentences) {
      sentences.add(sentence);
    }
    object.set("events", sentences);
    requests.add(object);
    if (!json) {
      std::cout << "Request " << entry.request << "\n";
      for (const std::string& sentence : entry.sentences) {
        std::cout << "  " << sentence << "\n";
      }
    }
  }
  if (json) {
    Object object;
    object.set("requests", requests);
    print_json(object);
  }
  const int silent = report_silent(merged);
  if (merged.events.empty()) {
    return fail(exit_negative, "No node holds an event of it.");
  }
  return silent;
}

}  // namespace chestnuthead
