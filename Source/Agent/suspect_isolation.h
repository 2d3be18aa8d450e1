#pragma once

#include <cstdint>

#include "Agent/agent_state.h"

/// What the agent does about requests that crash endpoints: accuses them after
/// a crash, runs suspects one at a time, and refuses the convicted.
namespace chestnuthead {

/// True if the content has crashed as many distinct endpoints as the policy
/// allows.
bool refused_after_crashes(const agent_state& state, std::uint64_t fingerprint, steady_time now);

/// True if some endpoint, this one included, has crashed with the content.
bool is_suspect(const agent_state& state, std::uint64_t fingerprint, steady_time now);

/// True while a suspect is at the endpoint or on its way to it.
bool suspect_is_running(const agent_state& state, steady_time now);

/// The endpoint crashed: accuses what may have been the cause, and tells the
/// other nodes.
void accuse_running(agent_state& state, steady_time now);

}  // namespace chestnuthead
