#include "Control/log_lines.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include <Poco/JSON/Object.h>

#include "Control/timeline_merge.h"
#include "Net/json_text.h"

namespace chestnuthead {

namespace {

using Poco::JSON::Object;

/// How long before a request's first line events of its endpoints still bear on
/// it: an endpoint is set aside for 8 s at most.
constexpr std::chrono::seconds endpoint_memory{10};

/// What a gateway says of itself; the last line of each holds.
constexpr std::array<std::string_view, 8> events_of_a_gateway{
    "started",    "stop_begun",    "configuration_taken",      "settings_reread",
    "store_lost", "store_reached", "configuration_unreadable", "log_lines_dropped"};

/// Fields that an event has a place of its own for.
constexpr std::array<std::string_view, 6> placed_fields{"ts",    "level",   "node",
                                                        "event", "request", "endpoint"};

template <std::size_t Size>
bool is_among(const std::array<std::string_view, Size>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// The endpoint that a line speaks of: the last one tried, if it lists several.
std::string endpoint_of(const Object& line) {
  const std::string one = json_text(line, "endpoint");
  const std::string tried = json_text(line, "endpoints");
  return one.empty() ? tried.substr(tried.rfind(',') + 1) : one;
}

std::string detail_of(const Object& line) {
  std::string detail;
  for (const std::string& name : line.getNames()) {
    if (!is_among(placed_fields, name)) {
      detail += (detail.empty() ? "" : " ") + name + "=" + line.get(name).toString();
    }
  }
  return detail;
}

std::optional<timeline_event> parse_line(const std::string& text) {
  const std::size_t begin = text.find('{');
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  const Object::Ptr line = parse_json_object(text.substr(begin));
  if (line.isNull() || !line->has("ts") || !line->has("event")) {
    return std::nullopt;
  }
  timeline_event event;
  event.when.wall = std::chrono::milliseconds(json_number(*line, "ts"));
  event.node.value = json_text(*line, "node");
  event.name = json_text(*line, "event");
  event.request.value = json_text(*line, "request");
  event.endpoint.value = endpoint_of(*line);
  event.failure_domain.value = json_text(*line, "failure_domain");
  event.detail = detail_of(*line);
  return event;
}

/// Where and when a request was handled.
struct request_span {
  std::string node;
  std::set<endpoint_id> endpoints;
  hybrid_time first;
  hybrid_time last;
};

std::optional<request_span> span_of(const std::vector<timeline_event>& events,
                                    const std::string& request) {
  std::optional<request_span> span;
  for (const timeline_event& event : events) {
    if (event.request.value != request) {
      continue;
    }
    if (!span) {
      span = request_span{event.node.value, {}, event.when, event.when};
    }
    span->last = event.when;
    if (!event.endpoint.empty()) {
      span->endpoints.insert(event.endpoint);
    }
  }
  return span;
}

/// All gateways list the same endpoints, so that only the request's own one is
/// worth a line; what they saw of an endpoint may differ.
bool is_of_endpoints(const timeline_event& event, const request_span& span) {
  const bool near = event.when.wall + endpoint_memory >= span.first.wall;
  const bool of_interest = event.node.value == span.node || event.name != "endpoint_listed";
  return near && of_interest &&
         (span.endpoints.contains(event.endpoint) || !event.failure_domain.empty());
}

}  // namespace

log_reading read_log_lines(std::istream& in) {
  log_reading reading;
  for (std::string text; std::getline(in, text);) {
    auto event = parse_line(text);
    if (!event) {
      ++reading.skipped;
      continue;
    }
    // Lines of one millisecond stay in the order in which they were written.
    event->when.counter = static_cast<std::uint32_t>(reading.events.size());
    reading.events.push_back(std::move(*event));
  }
  return reading;
}

std::vector<timeline_event> restarts_of(const std::vector<timeline_event>& events) {
  std::set<node_id> seen;
  std::vector<timeline_event> restarts;
  for (const timeline_event& event : events) {
    if (!seen.insert(event.node).second && event.name == "started") {
      restarts.push_back(event);
    }
  }
  return restarts;
}

std::vector<timeline_event> circumstances_of(const std::vector<timeline_event>& events,
                                             const std::string& request) {
  const auto span = span_of(events, request);
  if (!span) {
    return {};
  }
  std::vector<timeline_event> chosen;
  std::map<std::string, timeline_event> latest;
  for (const timeline_event& event : events) {
    if (event.when > span->last || !event.request.empty()) {
      continue;
    }
    if (event.node.value == span->node && is_among(events_of_a_gateway, event.name)) {
      // A table of the store that was lost or reached counts by itself.
      latest[event.name + (event.name.starts_with("store_") ? event.detail : "")] = event;
    } else if (is_of_endpoints(event, *span)) {
      chosen.push_back(event);
    }
  }
  for (const auto& [name, event] : latest) {
    chosen.push_back(event);
  }
  order_events(chosen);
  return chosen;
}

}  // namespace chestnuthead
