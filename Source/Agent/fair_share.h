#pragma once

#include <map>

#include "chestnuthead/ids.h"
#include "chestnuthead/request.h"

/// Weighted fair queueing of customers at the endpoint, by virtual time.
namespace chestnuthead {

/// Number of tokens whose cost equals the fixed cost of one request.
inline constexpr double tokens_of_one_request = 1024.0;

/// Virtual time is work divided by the customer's weight. The customer whose next
/// request has the earliest virtual start goes first.
struct fair_share {
  /// Virtual finish time of each customer's last request.
  std::map<customer_id, double> served_until;
  /// Virtual start time of the last started request.
  double virtual_now = 0.0;
};

/// Cost of a request in units of one without tokens.
double cost_of(const request_facts& facts);

/// Virtual time at which the customer's next request would start.
double virtual_start(const fair_share& shares, const customer_id& customer);

/// Accounts for a started request of the customer.
void charge(fair_share& shares, const customer_id& customer, double weight, double cost);

}  // namespace chestnuthead
