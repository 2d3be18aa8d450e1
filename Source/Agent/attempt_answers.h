#pragma once

#include <chrono>
#include <string>

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// What the agent tells routers and the time line about attempts.
namespace chestnuthead {

/// The report that rides on every answer.
load_report report_load(const agent_state& state, const chat_id& chat);

/// Keeps an event of this agent for the time line.
void record_event(agent_state& state, const std::string& name, const std::string& detail);

/// Keeps an event of one attempt for the time line.
void record_attempt(agent_state& state, const attempt_offered& offer, const std::string& name,
                    const std::string& detail = {});

/// The attempt is taken.
void accept(agent_state& state, attempt_row& row);

/// The offer is not taken; it has no row, or its row is removed here.
void refuse(agent_state& state, const attempt_offered& offer, refusal_kind why,
            std::chrono::milliseconds retry_after);

/// An accepted attempt has ended; its row is removed.
void end(agent_state& state, const attempt_id& attempt, attempt_outcome outcome);

/// An attempt is answered by what the ledger holds; its row is removed.
void answer_stored(agent_state& state, const attempt_id& attempt, const std::string& answer);

}  // namespace chestnuthead
