#include "Agent/pool_view.h"

#include <algorithm>

namespace chestnuthead {

namespace {

std::uint32_t count_endpoints(const control_plane& control, const pool_id& pool) {
  const auto in_service = [&control, &pool](const member& node) {
    return node.vm.role == vm_role::agent && node.vm.pool == pool &&
           !is_out_of_service(control, node);
  };
  const auto& nodes = members(control);
  return 1U + static_cast<std::uint32_t>(std::count_if(nodes.begin(), nodes.end(), in_service));
}

}  // namespace

void update_pool_view(pool_view& view, control_plane& control, const pool_id& pool,
                      std::uint32_t own_load, std::uint32_t own_limit, steady_time now) {
  report_own_load(control, own_load, own_limit, now);
  view.mean = pool_mean(control, now);
  view.endpoints = count_endpoints(control, pool);
  view.own_load = own_load;
  view.measured_at = now;
}

std::optional<double> adjusted_mean(const pool_view& view, std::uint32_t own_load) {
  if (!view.mean) {
    return std::nullopt;
  }
  const double change = static_cast<double>(own_load) - static_cast<double>(view.own_load);
  return std::max(0.0, *view.mean + change / view.endpoints);
}

}  // namespace chestnuthead
