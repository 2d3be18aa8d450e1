#pragma once

#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

#include "chestnuthead/timeline.h"

namespace chestnuthead {

/// One request's way through the fleet, as sentences.
struct explanation {
  std::string request;
  std::vector<std::string> sentences;
  /// What was known at that time, from events that do not name the request.
  std::vector<std::string> circumstances;
};

/// Explains each request that the events speak of, in the order in which the
/// requests began. Circumstances are taken from `all_events`. Both are in order.
std::vector<explanation> explain_requests(const std::vector<timeline_event>& events,
                                          const std::vector<timeline_event>& all_events);

/// The events, and the circumstances of each request among them, in order.
std::vector<timeline_event> with_circumstances(std::vector<timeline_event> events,
                                               const std::vector<timeline_event>& all_events);

/// A heading for each request, and one line a sentence.
std::string format_explanations_text(const std::vector<explanation>& list);

Poco::JSON::Object format_explanations_json(const std::vector<explanation>& list);

}  // namespace chestnuthead
