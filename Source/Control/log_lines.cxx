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

/// Age, before the first line of a request, up to which events of its endpoints are
/// related to it: an endpoint is ejected for 8 s at most.
constexpr std::chrono::seconds endpoint_event_window{10};

/// Events in which a gateway logs its own state; the last one of each name applies.
constexpr std::array<std::string_view, 8> gateway_state_events{
    "started",    "stop_begun",    "configuration_taken",      "settings_reread",
    "store_lost", "store_reached", "configuration_unreadable", "log_lines_dropped"};

/// Fields that have a corresponding member of timeline_event.
constexpr std::array<std::string_view, 6> mapped_fields{"ts",    "level",   "node",
                                                        "event", "request", "endpoint"};

template <std::size_t Size>
bool is_one_of(const std::array<std::string_view, Size>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// The endpoint that a line names; if it lists several, the last one tried.
std::string endpoint_of(const Object& line) {
  const std::string one = json_text(line, "endpoint");
  const std::string tried = json_text(line, "endpoints");
  return one.empty() ? tried.substr(tried.rfind(',') + 1) : one;
}

std::string detail_of(const Object& line) {
  std::string detail;
  for (const std::string& name : line.getNames()) {
    if (!is_one_of(mapped_fields, name)) {
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

/// The node, the endpoints and the time span of a request.
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

/// True if the event is recent and concerns an endpoint of the request or a failure
/// domain. As all gateways list the same endpoints, `endpoint_listed` counts only from
/// the gateway of the request; other events of an endpoint may differ between gateways.
bool concerns_endpoints_of(const timeline_event& event, const request_span& span) {
  const bool recent = event.when.wall + endpoint_event_window >= span.first.wall;
  const bool relevant = event.node.value == span.node || event.name != "endpoint_listed";
  return recent && relevant &&
         (span.endpoints.contains(event.endpoint) || !event.failure_domain.empty());
}

}  // namespace

parsed_log read_log_lines(std::istream& in) {
  parsed_log log;
  for (std::string text; std::getline(in, text);) {
    auto event = parse_line(text);
    if (!event) {
      ++log.skipped;
      continue;
    }
    // Keeps the order of lines within one millisecond.
    event->when.counter = static_cast<std::uint32_t>(log.events.size());
    log.events.push_back(std::move(*event));
  }
  return log;
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
    if (event.node.value == span->node && is_one_of(gateway_state_events, event.name)) {
      // The state of the store is logged for each table, which the detail names.
      latest[event.name + (event.name.starts_with("store_") ? event.detail : "")] = event;
    } else if (concerns_endpoints_of(event, *span)) {
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
