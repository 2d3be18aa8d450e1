#pragma once

#include <chrono>

namespace chestnuthead {

/// Keeps SIGTERM and SIGINT for `stop_asked`, and SIGPIPE from ending the
/// process. Call it before any thread starts.
void hold_stop_signals();

/// Waits at most for `longest`; true if the process was asked to stop.
bool stop_asked(std::chrono::milliseconds longest);

}  // namespace chestnuthead
