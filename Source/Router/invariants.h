#pragma once

#include <string>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"
#include "chestnuthead/router_core.h"

#include "Router/request_table.h"
#include "Router/router_state.h"

/// Runtime checks of the router's invariants. They read only the tables and run
/// beside the decisions that they check.
namespace chestnuthead::routing {

/// Counts and reports a broken invariant.
void report_broken(router_state& state, const std::string& name, const std::string& detail,
                   router_actions& actions);

/// "Not run" may be reported only if every attempt was refused or the key is
/// sealed against the request.
void check_run_state(router_state& state, const request_row& row, run_state ran,
                     router_actions& actions);

/// No attempt may go to a node that is known to be out of service, exceed the
/// deadline, or start while another attempt of the request is open.
void check_attempt(router_state& state, const request_row& row, const send_attempt& attempt,
                   steady_time now, router_actions& actions);

/// Every request waits for some event, no request outlives its deadline, and
/// retries stay within their budget.
void check_requests(router_state& state, steady_time now, router_actions& actions);

}  // namespace chestnuthead::routing
