#pragma once

#include <string_view>

#include "chestnuthead/clock.h"
#include "chestnuthead/request.h"
#include "chestnuthead/router_core.h"

#include "Router/request_table.h"
#include "Router/router_state.h"

/// Handles refusals by agents. A refused attempt never ran.
namespace chestnuthead::routing {

/// Fixed name of the refusal in timeline events.
std::string_view name_of(refusal_kind why);

/// Tries the next choice, waits, probes other agents or gives the request up.
/// The row may be erased afterwards.
void handle_refusal(router_state& state, request_row& row, const attempt_row& attempt,
                    const attempt_refused& refusal, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
