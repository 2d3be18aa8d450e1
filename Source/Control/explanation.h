#pragma once

#include <string>
#include <vector>

#include "chestnuthead/timeline.h"

namespace chestnuthead {

/// One request's way through the fleet, as sentences.
struct explanation {
  std::string request;
  std::vector<std::string> sentences;
};

/// Explains each request that the events speak of, in the order in which the
/// requests began. The events are in order.
std::vector<explanation> explain_requests(const std::vector<timeline_event>& events);

}  // namespace chestnuthead
