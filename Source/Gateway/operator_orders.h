#pragma once

#include <optional>
#include <set>
#include <vector>

#include "chestnuthead/clock.h"

#include "Gateway/gateway_state.h"

/// Applies what operators set in the platform's store: the configuration, and which failure
/// domains are out of service.
namespace chestnuthead::gateway {

/// Changes read from rows of the store.
struct store_orders {
  /// The configuration, if it is among the rows and valid.
  std::optional<service_map> configuration;
  std::set<failure_domain_id> domains_out;
  std::set<failure_domain_id> domains_back;
  std::vector<rollout_order> rollouts;
  std::set<pool_id> rollouts_removed;
  /// The rows are the complete tables and not just changes.
  bool whole = false;
  /// The rows reflect all writes that the store had acknowledged by this time.
  steady_time as_of{};
};

/// The resulting changes of the gateway's state.
struct orders_effect {
  bool configuration_taken = false;
  /// The store contains an older configuration than the one in force.
  bool configuration_outdated = false;
  std::vector<failure_domain_id> domains_out;
  std::vector<failure_domain_id> domains_back;
  /// Roll-outs that have just been ordered.
  std::vector<rollout_order> rollouts;
};

/// Applies rows of the store. A configuration is never replaced by an older one. Until the
/// store's era is settled, a failure domain that is missing from the rows stays out of
/// service, a missing roll-out stays ordered, and the configuration is not confirmed. It isn't
/// confirmed either while the store or a peer shows that this gateway's configuration, or the
/// store's, is not the newest.
orders_effect apply_orders(gateway_state& state, store_orders change, steady_time now);

}  // namespace chestnuthead::gateway
