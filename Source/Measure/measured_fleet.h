#pragma once

#include <optional>
#include <string>

#include "Measure/control_fleet.h"
#include "Measure/measure.h"

/// The fleet of control planes that the measurements drive.
namespace chestnuthead {

/// Customers and models of the target's document.
inline constexpr std::size_t measured_customers = 680;
inline constexpr std::size_t measured_models = 15;

/// True for the policies that `make_measured_fleet` knows.
bool is_control_policy(const std::string& policy);

/// A fleet of `nodes` with the target's document. Under `poll` no gossip is
/// carried and the platform's whole budget of reads is used.
std::unique_ptr<control_fleet> make_measured_fleet(const measure_options& options,
                                                   std::size_t nodes);

/// Makes the `number`-th change as an operator would: one customer's weight.
bool change_one_customer(control_fleet& fleet, std::size_t number);

}  // namespace chestnuthead
