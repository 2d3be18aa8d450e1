#pragma once

#include "Agent/agent_state.h"

namespace chestnuthead {

/// Sends waiting attempts to the endpoint while it has free slots: first those with
/// a granted claim, then the queue in its order.
void start_waiting(agent_state& state, steady_time now);

}  // namespace chestnuthead
