#pragma once

#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

#include "chestnuthead/timeline.h"

namespace chestnuthead {

/// The events of one request, as sentences.
struct explanation {
  std::string request;
  std::vector<std::string> sentences;
  /// Related events that do not name the request: the state of its gateway and
  /// endpoints at that time.
  std::vector<std::string> circumstances;
};

/// Explains each request that the events name, in the order of their first events.
/// Circumstances are taken from `all_events`. Both lists must be in order.
std::vector<explanation> explain_requests(const std::vector<timeline_event>& events,
                                          const std::vector<timeline_event>& all_events);

/// The events and the circumstances of each of their requests, in order.
std::vector<timeline_event> with_circumstances(std::vector<timeline_event> events,
                                               const std::vector<timeline_event>& all_events);

/// A heading for each request, followed by one line for each sentence.
std::string format_explanations_text(const std::vector<explanation>& list);

Poco::JSON::Object format_explanations_json(const std::vector<explanation>& list);

}  // namespace chestnuthead
