#pragma once

#include <cstdint>

/// Limits retries to a share of the requests, so that a fault is not answered
/// with a flood.
namespace chestnuthead::routing {

/// Retries that may come at once, so that the loss of a failure domain can be
/// made good.
inline constexpr double retry_burst = 100.0;

/// A token bucket that requests fill and retries empty.
struct retry_budget {
  double tokens = retry_burst;
  /// All that requests have added since the start, and all retries since then.
  double earned = 0.0;
  std::uint64_t spent = 0;
};

/// A request has arrived: adds its share of a retry.
void earn_retry(retry_budget& budget, double retry_ratio);

/// Takes one retry out of the budget; false if there is none.
bool spend_retry(retry_budget& budget);

/// Counts a retry that is made whatever the budget says.
void force_retry(retry_budget& budget);

/// True if more retries were made than the budget ever held.
bool overdrawn(const retry_budget& budget);

}  // namespace chestnuthead::routing
