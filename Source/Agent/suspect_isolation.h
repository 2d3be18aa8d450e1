#pragma once

#include <cstdint>

#include "Agent/agent_state.h"

/// Handling of requests that crash endpoints: those running during a crash become
/// suspects, suspects run one at a time, and requests that crashed as many
/// endpoints as the policy's limit are refused.
namespace chestnuthead {

/// True if requests with this fingerprint crashed as many distinct endpoints as the
/// policy's crash limit.
bool refused_after_crashes(const agent_state& state, std::uint64_t fingerprint, steady_time now);

/// True if some endpoint, this one included, crashed while running the fingerprint.
bool is_suspect(const agent_state& state, std::uint64_t fingerprint, steady_time now);

/// True while a suspect runs at the endpoint or is about to.
bool suspect_is_running(const agent_state& state, steady_time now);

/// After a crash of the endpoint, marks the requests that may have caused it as
/// suspects and reports them to the other nodes.
void suspect_running_attempts(agent_state& state, steady_time now);

}  // namespace chestnuthead
