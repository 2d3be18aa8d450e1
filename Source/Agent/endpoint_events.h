#pragma once

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// Handlers for events of the endpoint: answers, failures, crashes and restarts.
namespace chestnuthead {

/// After a crash, attempts whose failure is not reported within this time are
/// treated as failed.
inline constexpr std::chrono::seconds crash_report_wait{2};

void handle_first_byte(agent_state& state, const attempt_id& attempt, steady_time now);
void handle_finish(agent_state& state, const endpoint_finished& event, steady_time now);
void handle_failure(agent_state& state, const endpoint_failed& event, steady_time now);
void handle_ready(agent_state& state, const endpoint_ready& event, steady_time now);

/// Ends attempts that were lost in a crash of the endpoint and not reported as
/// failed.
void end_crashed(agent_state& state, steady_time now);

}  // namespace chestnuthead
