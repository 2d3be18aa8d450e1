#pragma once

#include <cstdint>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"
#include "chestnuthead/table_service.h"

#include "Router/request_table.h"
#include "Router/router_state.h"

/// Seals the key of an at-most-once call in the table before its caller is told
/// whether it ran.
namespace chestnuthead::routing {

/// True if only the table shows whether the call ran.
bool needs_seal(const router_state& state, const request_row& row);

/// Seals the key against the request; `why` is reported to the caller unless
/// the table has a more exact outcome. The row may be erased afterwards.
void begin_seal(router_state& state, request_row& row, error_kind why, steady_time now,
                router_actions& actions);

/// Handles the table's reply to a call of the sealer.
void handle_seal_reply(router_state& state, std::uint64_t ticket, const table_reply& reply,
                       steady_time now, router_actions& actions);

/// Retries failed seals and ends those that timed out.
void tick_seals(router_state& state, steady_time now, router_actions& actions);

/// Ends a request whose call ran but whose stored answer could not be fetched.
void end_as_ran(router_state& state, request_row& row, router_actions& actions);

}  // namespace chestnuthead::routing
