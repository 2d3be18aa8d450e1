#pragma once

#include <string>
#include <vector>

#include <Poco/JSON/Array.h>

#include "chestnuthead/timeline.h"

/// Merges, filters and formats the events of several nodes as one timeline.
namespace chestnuthead {

/// Selects events; empty identifiers match all events.
struct timeline_filter {
  std::string request;
  std::string chat;
  std::string endpoint;
  std::string failure_domain;
  std::string node;
  /// Inclusive range in milliseconds since the Unix epoch; zero means no limit.
  std::uint64_t from_ms = 0;
  std::uint64_t to_ms = 0;
};

/// Parses the response of a node to GET /timeline. Elements that are not objects are
/// skipped; the result is empty if the text is not a JSON array.
std::vector<timeline_event> parse_events(const std::string& text);

/// Sorts by hybrid time, then by node, so that the order is deterministic.
void order_events(std::vector<timeline_event>& events);

/// The events that match the filter. A filter by chat also matches all events of the
/// requests of that chat.
std::vector<timeline_event> filter_events(const std::vector<timeline_event>& events,
                                          const timeline_filter& filter);

/// Time in UTC as "2026-01-31T12:00:00.123Z".
std::string format_time(std::chrono::milliseconds wall);

/// A table with one line for each event.
std::string format_events_text(const std::vector<timeline_event>& events);

Poco::JSON::Array format_events_json(const std::vector<timeline_event>& events);

}  // namespace chestnuthead
