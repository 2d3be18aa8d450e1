#pragma once

#include <string>
#include <vector>

#include "chestnuthead/timeline.h"

namespace chestnuthead {

/// A self-contained HTML page with a lane for each process, a mark for each event, and
/// a table of all events. The events must be in order.
std::string format_timeline_page(const std::vector<timeline_event>& events);

/// Escapes the special characters of HTML.
std::string escape_html(const std::string& text);

}  // namespace chestnuthead
