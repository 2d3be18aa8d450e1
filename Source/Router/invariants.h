#pragma once

#include <string>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"
#include "chestnuthead/router_core.h"

#include "Router/request_table.h"
#include "Router/router_state.h"

/// Checks of what a router must never do, made beside the decisions from the
/// tables alone.
namespace chestnuthead::routing {

/// Counts and reports a broken invariant.
void report_broken(router_state& state, const std::string& name, const std::string& detail,
                   router_actions& actions);

/// "Not run" is only said if every attempt was refused or the key is sealed.
void check_run_state(router_state& state, const request_row& row, run_state ran,
                     router_actions& actions);

/// No attempt goes to a node that is known to be out, after the deadline or
/// beside another attempt of the same request.
void check_attempt(router_state& state, const request_row& row, const send_attempt& attempt,
                   steady_time now, router_actions& actions);

/// Every request waits for something, none outlives its deadline, and retries
/// keep within their budget.
void check_requests(router_state& state, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
