#pragma once

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// What the endpoint does: it answers, fails, crashes and comes back.
namespace chestnuthead {

/// After a crash, an attempt whose failure is not reported by then is taken
/// for failed.
inline constexpr std::chrono::seconds crash_report_wait{2};

void take_first_byte(agent_state& state, const attempt_id& attempt, steady_time now);
void take_finish(agent_state& state, const endpoint_finished& event, steady_time now);
void take_failure(agent_state& state, const endpoint_failed& event, steady_time now);
void take_ready(agent_state& state, const endpoint_ready& event, steady_time now);

/// Ends attempts that were lost with the endpoint and not reported.
void end_crashed(agent_state& state, steady_time now);

}  // namespace chestnuthead
