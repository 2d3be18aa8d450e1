#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "Measure/control_fleet.h"

/// Fleet of control planes used by the measurements.
namespace chestnuthead {

/// Number of customers and of models in the target configuration.
inline constexpr std::size_t measured_customers = 680;
inline constexpr std::size_t measured_models = 15;

/// Options of a control plane measurement.
struct control_options {
  /// "ours", or "poll": every node polls the table itself.
  std::string policy = "ours";
  std::uint64_t seed = 1;
  /// Number of nodes; 0 for the measurement's default sizes.
  std::size_t nodes = 0;
};

/// Numbers of routers, agents and pools, in the proportions of the target fleet.
struct fleet_size {
  std::size_t routers = 0;
  std::size_t agents = 0;
  std::size_t pools = 1;
};

fleet_size fleet_size_for(std::size_t nodes);

/// True for the policies of `make_measured_fleet`.
bool is_control_policy(const std::string& policy);

/// Creates a fleet of `nodes` with the target configuration. Under `poll` no gossip
/// is delivered and nodes use the platform's whole read budget.
std::unique_ptr<control_fleet> make_measured_fleet(const control_options& options,
                                                   std::size_t nodes);

/// Makes the `number`-th operator change: sets one customer's weight.
bool change_one_customer(control_fleet& fleet, std::size_t number);

}  // namespace chestnuthead
