#pragma once

#include <cstdint>

#include "chestnuthead/agent_core.h"

#include "Agent/agent_state.h"

/// The at-most-once attempts' way through the ledger: a claim before the run,
/// the result in the table before the answer.
namespace chestnuthead {

/// Asks the ledger for the attempt's key; the attempt waits in `claiming`.
void begin_claim(agent_state& state, attempt_row& row, steady_time now);

/// The attempt is not wanted any more before its claim was decided.
void withdraw_claim(agent_state& state, const attempt_id& attempt, steady_time now);

/// Gives a granted claim back, because the attempt never reached the endpoint.
void release_claim(agent_state& state, const attempt_id& attempt, steady_time now);

/// Leaves a granted claim standing: nobody knows whether the attempt ran.
void abandon_claim(agent_state& state, const attempt_id& attempt, steady_time now);

/// Puts the answer of a granted attempt into the table; it waits in
/// `recording`.
void begin_recording(agent_state& state, attempt_row& row, const std::string& answer,
                     steady_time now);

void take_ledger_table_reply(agent_state& state, const agent_table_replied& event, steady_time now);

void tick_ledger(agent_state& state, steady_time now);

}  // namespace chestnuthead
