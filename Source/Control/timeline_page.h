#pragma once

#include <string>
#include <vector>

#include "chestnuthead/timeline.h"

namespace chestnuthead {

/// One HTML page that needs no other file: a lane for each process, the events
/// as marks on it, and a table of all events below. The events are in order.
std::string format_timeline_page(const std::vector<timeline_event>& events);

/// Text as it may stand in HTML.
std::string escape_html(const std::string& text);

}  // namespace chestnuthead
