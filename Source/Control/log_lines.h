#pragma once

#include <istream>
#include <string>
#include <vector>

#include "chestnuthead/timeline.h"

/// Parser of the JSON lines that daemons log (docs/logs.md).
namespace chestnuthead {

/// Contents of a log.
struct parsed_log {
  std::vector<timeline_event> events;
  /// Number of lines without an event, such as those of other programs.
  std::size_t skipped = 0;
};

/// Parses all lines. The text before the first brace of a line is ignored, as log
/// collectors add times and names there. Fields without a corresponding member of
/// timeline_event are appended to its detail as "name=value".
parsed_log read_log_lines(std::istream& in);

/// Events up to the end of a request that are related to it but do not name it: the
/// last state that its gateway logged of itself, the store and the configuration, and
/// what any gateway logged about its endpoints and about failure domains from a few
/// seconds before its first line. The events must be in order.
std::vector<timeline_event> circumstances_of(const std::vector<timeline_event>& events,
                                             const std::string& request);

/// Start events of processes that had logged before. Requests in progress at such a
/// restart may have left no line. The events must be in order.
std::vector<timeline_event> restarts_of(const std::vector<timeline_event>& events);

}  // namespace chestnuthead
