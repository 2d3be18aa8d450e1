#pragma once

#include <chrono>

#include "Agent/agent_state.h"

/// The planned stop: not ready first, no new work, the last answer out, exit.
namespace chestnuthead {

/// Time that the news of the stop is given to spread before the agent goes.
inline constexpr std::chrono::milliseconds leaving_notice{2'000};

/// Says that this node leaves; from now on nothing is admitted.
void begin_stop(agent_state& state, steady_time now);

/// Tells the health check when the agent begins or ceases to take work, and the
/// other nodes when it begins for the first time.
void tell_ready(agent_state& state, steady_time now);

/// Ends the process once nothing is in flight and the news has been spread.
void finish_stop(agent_state& state, steady_time now);

}  // namespace chestnuthead
