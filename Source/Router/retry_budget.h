#pragma once

#include <cstdint>

/// Limits retries to a share of the requests, so that a fault does not cause a
/// retry storm.
namespace chestnuthead::routing {

/// Retries allowed in a burst, enough to resend the requests of a lost failure
/// domain.
inline constexpr double retry_burst = 100.0;

/// A token bucket that requests fill and retries empty.
struct retry_budget {
  double tokens = retry_burst;
  /// Tokens added by requests and retries made, both since the start.
  double earned = 0.0;
  std::uint64_t spent = 0;
};

/// Adds a request's share of a retry.
void earn_retry(retry_budget& budget, double retry_ratio);

/// Takes one retry from the budget; false if the budget is exhausted.
bool spend_retry(retry_budget& budget);

/// Counts a retry that is made regardless of the budget.
void force_retry(retry_budget& budget);

/// True if more retries were made than the budget ever allowed.
bool overdrawn(const retry_budget& budget);

}  // namespace chestnuthead::routing
