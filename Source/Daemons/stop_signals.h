#pragma once

#include <chrono>

namespace chestnuthead {

/// Blocks SIGTERM and SIGINT so that `stop_asked` can receive them, and ignores
/// SIGPIPE. Call this before any thread starts, so that all threads inherit the
/// signal mask.
void hold_stop_signals();

/// Waits up to `longest` for a stop signal; true if one was received.
bool stop_asked(std::chrono::milliseconds longest);

}  // namespace chestnuthead
