#pragma once

#include <chrono>

namespace chestnuthead {

/// Blocks SIGTERM and SIGINT so that `wait_for_stop_signal` can receive them, and ignores
/// SIGPIPE. Call this before any thread starts, so that all threads inherit the
/// signal mask.
void block_stop_signals();

/// Waits up to `longest` for a stop signal; true if one was received.
bool wait_for_stop_signal(std::chrono::milliseconds longest);

}  // namespace chestnuthead
