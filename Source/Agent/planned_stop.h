#pragma once

#include <chrono>

#include "Agent/agent_state.h"

/// Graceful shutdown: report not ready, admit no new work, finish all attempts,
/// exit.
namespace chestnuthead {

/// Minimum time between the announcement of the stop and the exit, so that the
/// announcement can spread.
inline constexpr std::chrono::milliseconds leaving_notice{2'000};

/// Announces that this node is leaving; from then on nothing is admitted.
void begin_stop(agent_state& state, steady_time now);

/// Updates the readiness check when the agent starts or stops taking work, and
/// announces the agent to the other nodes when it first becomes ready.
void report_readiness(agent_state& state, steady_time now);

/// Stops the process once nothing is in flight and `leaving_notice` has passed.
void finish_stop(agent_state& state, steady_time now);

}  // namespace chestnuthead
