#pragma once

#include <cstdint>

#include "chestnuthead/table_service.h"

namespace chestnuthead {

/// A call to the table service that a part of a core wants made; the reply
/// comes back with the same ticket.
struct table_ask {
  std::uint64_t ticket = 0;
  table_request request;
};

/// Set in the tickets of the control plane, clear in those of the ledger, so
/// that a core knows which part a reply belongs to.
inline constexpr std::uint64_t control_ticket_bit = std::uint64_t{1} << 63U;

}  // namespace chestnuthead
