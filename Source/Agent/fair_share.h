#pragma once

#include <map>

#include "chestnuthead/ids.h"
#include "chestnuthead/request.h"

/// Weighted fair sharing of the endpoint among customers by virtual time.
namespace chestnuthead {

/// Tokens that count as much as the fixed cost of one request.
inline constexpr double tokens_of_one_request = 1024.0;

/// Virtual time is work divided by weight: the customer whose next request
/// would start earliest goes first.
struct fair_share {
  /// Virtual time up to which each customer has been served.
  std::map<customer_id, double> served_until;
  /// Virtual start of the request that was started last.
  double virtual_now = 0.0;
};

/// Work of a request in units of a small one.
double cost_of(const request_facts& facts);

/// Virtual time at which the customer's next request would start.
double virtual_start(const fair_share& shares, const customer_id& customer);

/// A request of the customer was started.
void charge(fair_share& shares, const customer_id& customer, double weight, double cost);

}  // namespace chestnuthead
