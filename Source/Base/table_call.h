#pragma once

#include <cstdint>

#include "chestnuthead/table_service.h"

namespace chestnuthead {

/// A call to the table service that a core requests from its caller; the reply is
/// passed back to the core with the same ticket.
struct table_call {
  std::uint64_t ticket = 0;
  table_request request;
};

/// Set in the tickets of the control plane, clear in those of the ledger, so
/// that a core can dispatch each reply to the module that made the call.
inline constexpr std::uint64_t control_ticket_bit = std::uint64_t{1} << 63U;

}  // namespace chestnuthead
