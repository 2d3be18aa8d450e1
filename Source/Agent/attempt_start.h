#pragma once

#include "Agent/agent_state.h"

namespace chestnuthead {

/// Gives waiting attempts to the endpoint while it has free slots: those whose
/// claim stands first, then the queue in its order.
void start_waiting(agent_state& state, steady_time now);

}  // namespace chestnuthead
