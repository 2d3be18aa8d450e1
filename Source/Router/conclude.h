#pragma once

#include <chrono>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"

#include "Router/request_table.h"
#include "Router/router_state.h"

/// The ends of a request: each one gets exactly one final action here.
namespace chestnuthead::routing {

/// Gives the request up: cancels what is out, and answers at once or, where an
/// attempt of an at-most-once call may have run, after the table was asked.
/// The row may be gone afterwards.
void give_up(router_state& state, request_row& row, error_kind why, steady_time now,
             router_actions& actions);

/// The caller has its whole answer. The row is gone afterwards.
void finish(router_state& state, request_row& row, router_actions& actions);

/// Answers with an error and what is known of the run. The row is gone
/// afterwards.
void conclude(router_state& state, request_row& row, error_kind why, run_state ran,
              router_actions& actions);

/// Cancels the current attempt, if there is one; its later events are dropped.
void withdraw_current(router_state& state, request_row& row, router_actions& actions);

/// When a caller that gets this error should come back.
std::chrono::milliseconds come_back_after(const request_row& row, error_kind why);

}  // namespace chestnuthead::routing
