#pragma once

#include <string_view>

#include "chestnuthead/clock.h"
#include "chestnuthead/request.h"
#include "chestnuthead/router_core.h"

#include "Router/request_table.h"
#include "Router/router_state.h"

/// What follows from an agent's refusal. A refused attempt never ran.
namespace chestnuthead::routing {

/// Fixed word for the time line.
std::string_view name_of(refusal_kind why);

/// Goes on to the next choice, waits, asks others or gives up. The row may be
/// gone afterwards.
void act_on_refusal(router_state& state, request_row& row, const attempt_row& attempt,
                    const attempt_refused& refusal, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
