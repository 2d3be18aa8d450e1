#pragma once

#include <istream>
#include <string>
#include <vector>

#include "chestnuthead/timeline.h"

/// Events from the JSON lines that daemons write (docs/logs.md).
namespace chestnuthead {

/// What a log held.
struct log_reading {
  std::vector<timeline_event> events;
  /// Lines that hold no event, such as those of other programs.
  std::size_t skipped = 0;
};

/// Reads all lines. What stands before a line's first brace is left out, since
/// collectors put times and names there. Fields that an event has no place for
/// go into its detail, as "name=value".
log_reading read_log_lines(std::istream& in);

/// Events that bear on a request although they do not name it, up to its end:
/// what its gateway had last said of itself, of the store and of the
/// configuration, and what any gateway said of the endpoints and failure domains
/// within the last seconds. The events are in order.
std::vector<timeline_event> circumstances_of(const std::vector<timeline_event>& events,
                                             const std::string& request);

/// Starts of processes that had written lines before: what they held then left no
/// line. The events are in order.
std::vector<timeline_event> restarts_of(const std::vector<timeline_event>& events);

}  // namespace chestnuthead
