#pragma once

#include <optional>
#include <set>
#include <vector>

#include "chestnuthead/clock.h"

#include "Gateway/gateway_state.h"

/// What operators order through the platform's store: the configuration, and failure
/// domains out of service.
namespace chestnuthead::gateway {

/// What rows of the store say.
struct orders_change {
  /// The configuration, if it is among the rows and can be read.
  std::optional<service_map> configuration;
  std::set<failure_domain_id> domains_out;
  std::set<failure_domain_id> domains_back;
  /// The rows are all that there are.
  bool whole = false;
  /// The rows reflect all that the store had acknowledged by then.
  steady_time as_of{};
};

/// What has changed for the gateway.
struct orders_effect {
  bool configuration_taken = false;
  /// The store holds an older configuration than the one in force.
  bool configuration_outdated = false;
  std::vector<failure_domain_id> domains_out;
  std::vector<failure_domain_id> domains_back;
};

/// Takes in what the store says. A configuration never gives way to an older one. Until the
/// store's era is settled a failure domain that is missing among the rows stays out, and
/// nothing is confirmed. Nor is it while the store or a peer shows that this gateway's
/// configuration, or the store's, is not the newest.
orders_effect take_orders(gateway_state& state, orders_change change, steady_time now);

}  // namespace chestnuthead::gateway
