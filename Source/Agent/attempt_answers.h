#pragma once

#include <chrono>
#include <string>

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// The agent's replies to routers and its timeline events about attempts.
namespace chestnuthead {

/// The load report that is part of every reply to a router.
load_report report_load(const agent_state& state, const chat_id& chat);

/// Records an event of this agent in the timeline.
void record_event(agent_state& state, const std::string& name, const std::string& detail);

/// Records an event of one attempt in the timeline.
void record_attempt(agent_state& state, const attempt_offered& offer, const std::string& name,
                    const std::string& detail = {});

/// Accepts the attempt and notifies its router.
void accept(agent_state& state, attempt_row& row);

/// Refuses the offer. If the attempt has a row, it is removed.
void refuse(agent_state& state, const attempt_offered& offer, refusal_kind why,
            std::chrono::milliseconds retry_after);

/// Ends an accepted attempt with this outcome and removes its row.
void end(agent_state& state, const attempt_id& attempt, attempt_outcome outcome);

/// Ends an attempt with the answer stored in the ledger and removes its row.
void answer_stored(agent_state& state, const attempt_id& attempt, const std::string& answer);

}  // namespace chestnuthead
