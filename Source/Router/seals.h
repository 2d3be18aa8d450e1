#pragma once

#include <cstdint>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"
#include "chestnuthead/table_service.h"

#include "Router/request_table.h"
#include "Router/router_state.h"

/// Asks the table what became of an at-most-once call before its caller is
/// told.
namespace chestnuthead::routing {

/// True if only the table can tell whether the call ran.
bool needs_seal(const router_state& state, const request_row& row);

/// Seals the key against the request; `why` is what the caller is told unless
/// the table knows more. The row may be gone afterwards.
void begin_seal(router_state& state, request_row& row, error_kind why, steady_time now,
                router_actions& actions);

/// The table's answer to a call of the sealer.
void take_seal_answer(router_state& state, std::uint64_t ticket, const table_reply& reply,
                      steady_time now, router_actions& actions);

/// Ends seals whose patience is over.
void tick_seals(router_state& state, steady_time now, router_actions& actions);

/// Ends a request whose call ran but whose stored answer can't be had.
void conclude_ran(router_state& state, request_row& row, router_actions& actions);

}  // namespace chestnuthead::routing
