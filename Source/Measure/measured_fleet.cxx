#include "Measure/measured_fleet.h"

#include <algorithm>
#include <memory>

namespace chestnuthead {

namespace {

constexpr std::uint32_t platform_reads_per_second = 2'000;
constexpr double message_loss = 0.01;

}  // namespace

fleet_size fleet_size_for(std::size_t nodes) {
  constexpr std::size_t target_nodes = 2'750;
  constexpr std::size_t target_routers = 350;
  constexpr std::size_t agents_of_a_pool = 160;
  fleet_size size;
  size.routers = std::max<std::size_t>(2, nodes * target_routers / target_nodes);
  size.agents = nodes - size.routers;
  size.pools = std::max<std::size_t>(1, size.agents / agents_of_a_pool);
  return size;
}

bool is_control_policy(const std::string& policy) {
  return policy == "ours" || policy == "poll";
}

std::unique_ptr<control_fleet> make_measured_fleet(const control_options& options,
                                                   std::size_t nodes) {
  const fleet_size size = fleet_size_for(nodes);
  control_fleet_settings settings;
  settings.routers = size.routers;
  settings.agents = size.agents;
  settings.pools = size.pools;
  settings.seed = options.seed;
  settings.loss = message_loss;
  configuration_document document = sample_configuration(measured_models, measured_customers);
  const bool polls = options.policy == "poll";
  if (polls) {
    document.policy.fleet_reads_per_second = platform_reads_per_second;
  }
  auto fleet = std::make_unique<control_fleet>(settings, document);
  if (polls) {
    fleet->is_cut = [](const vm_entry&, const vm_entry&) { return true; };
  }
  return fleet;
}

bool change_one_customer(control_fleet& fleet, std::size_t number) {
  return fleet.change([number](configuration_document& document) {
    document.operation = "change-" + std::to_string(number);
    document.customers[number % document.customers.size()].weight =
        2.0 + static_cast<double>(number);
  });
}

}  // namespace chestnuthead
