#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "Measure/control_fleet.h"

/// The fleet of control planes that the measurements drive.
namespace chestnuthead {

/// Customers and models of the target's document.
inline constexpr std::size_t measured_customers = 680;
inline constexpr std::size_t measured_models = 15;

/// What a measurement of control planes was asked for.
struct control_options {
  /// "ours", or "poll": every node follows the table by itself.
  std::string policy = "ours";
  std::uint64_t seed = 1;
  /// Nodes of the fleet; 0 for the sizes that the measurement chooses.
  std::size_t nodes = 0;
};

/// Routers and agents of a fleet with the target's proportions.
struct fleet_size {
  std::size_t routers = 0;
  std::size_t agents = 0;
  std::size_t pools = 1;
};

fleet_size fleet_size_for(std::size_t nodes);

/// True for the policies that `make_measured_fleet` knows.
bool is_control_policy(const std::string& policy);

/// A fleet of `nodes` with the target's document. Under `poll` no gossip is
/// carried and the platform's whole budget of reads is used.
std::unique_ptr<control_fleet> make_measured_fleet(const control_options& options,
                                                   std::size_t nodes);

/// Makes the `number`-th change as an operator would: one customer's weight.
bool change_one_customer(control_fleet& fleet, std::size_t number);

}  // namespace chestnuthead
