#pragma once

#include <string>
#include <vector>

#include <Poco/JSON/Array.h>

#include "chestnuthead/timeline.h"

/// The events of many nodes as one time line.
namespace chestnuthead {

/// What to keep; empty identifiers keep everything.
struct timeline_filter {
  std::string request;
  std::string chat;
  std::string endpoint;
  std::string failure_domain;
  std::string node;
  /// Calendar times in milliseconds since 1970, both included; zero is open.
  std::uint64_t from_ms = 0;
  std::uint64_t to_ms = 0;
};

/// Reads what a node answers under /timeline; events that are not valid are
/// left out.
std::vector<timeline_event> parse_events(const std::string& text);

/// Orders by hybrid time, then by node, so that the same events always come in
/// the same order.
void order_events(std::vector<timeline_event>& events);

/// The events that the filter keeps. A chat's filter keeps all events of the
/// requests that belong to the chat.
std::vector<timeline_event> filter_events(const std::vector<timeline_event>& events,
                                          const timeline_filter& filter);

/// Calendar time as "2026-01-31T12:00:00.123Z".
std::string format_time(std::chrono::milliseconds wall);

/// One line an event, for people.
std::string format_events_text(const std::vector<timeline_event>& events);

Poco::JSON::Array format_events_json(const std::vector<timeline_event>& events);

}  // namespace chestnuthead
