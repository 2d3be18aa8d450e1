#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "chestnuthead/clock.h"

#include "Gateway/crashing_parts.h"

/// Decides from the recorded crashes which prompt parts are refused.
namespace chestnuthead::gateway {

/// A part that has become suspected, withheld or refused.
struct part_verdict {
  std::uint64_t part = 0;
  /// Hashes of the endpoints that it crashed, as far as known to this gateway.
  std::vector<std::uint64_t> endpoints;
  /// Refused; otherwise only suspected.
  bool refused = false;
  /// Refused because a peer refuses it.
  bool from_peer = false;
  /// Withheld for `part_trial_time`.
  bool withheld = false;
};

/// Number of endpoints that are listed in a pool, which is given by its hash.
using pool_sizes = std::function<std::size_t(std::uint64_t pool)>;

/// Refuses the parts that the evidence shows to crash endpoints, and returns the new verdicts.
/// `gateways` is the size of the fleet, on which the delay of the peers' reports depends.
std::vector<part_verdict> review_parts(crashing_parts& table, std::uint32_t gateways,
                                       const pool_sizes& listed, steady_time now);

}  // namespace chestnuthead::gateway
