#pragma once

#include <cstdint>

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// Connects at-most-once attempts to the ledger: the claim must be granted before
/// the run, and the result recorded in the table before the answer is sent.
namespace chestnuthead {

/// Requests a claim on the attempt's key; the attempt waits in phase `claiming`.
void begin_claim(agent_state& state, attempt_row& row, steady_time now);

/// Withdraws an attempt whose claim has not been decided yet.
void withdraw_claim(agent_state& state, const attempt_id& attempt, steady_time now);

/// Releases a granted claim, because the attempt never reached the endpoint.
void release_claim(agent_state& state, const attempt_id& attempt, steady_time now);

/// Leaves a granted claim in place, because it is unknown whether the attempt ran.
void abandon_claim(agent_state& state, const attempt_id& attempt, steady_time now);

/// Starts recording the attempt's answer in the table; the attempt waits in phase
/// `recording`.
void begin_recording(agent_state& state, attempt_row& row, const std::string& answer,
                     steady_time now);

void handle_ledger_table_reply(agent_state& state, const agent_table_replied& event,
                               steady_time now);

void tick_ledger(agent_state& state, steady_time now);

}  // namespace chestnuthead
