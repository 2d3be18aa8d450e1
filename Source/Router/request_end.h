#pragma once

#include <chrono>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"

#include "Router/request_table.h"
#include "Router/router_state.h"

/// Ends requests. Each request gets exactly one final action here.
namespace chestnuthead::routing {

/// Gives the request up: cancels its current attempt and answers the caller.
/// Where an attempt of an at-most-once call may have run, the key is sealed in
/// the table first. The row may be erased afterwards.
void give_up(router_state& state, request_row& row, error_kind why, steady_time now,
             router_actions& actions);

/// Ends a request whose answer was passed on completely. Erases the row.
void finish(router_state& state, request_row& row, router_actions& actions);

/// Answers with an error and states whether the call ran. Erases the row.
void end_with_error(router_state& state, request_row& row, error_kind why, run_state ran,
                    router_actions& actions);

/// Cancels the current attempt, if there is one; its later events are dropped.
void cancel_current(router_state& state, request_row& row, router_actions& actions);

/// How long a caller that receives this error should wait before a retry.
std::chrono::milliseconds retry_after_for(const request_row& row, error_kind why);

}  // namespace chestnuthead::routing
