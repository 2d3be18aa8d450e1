#pragma once

#include <cstdint>
#include <optional>

#include "chestnuthead/clock.h"

#include "Gossip/control_plane.h"

/// Cached mean load of the pool. Computing it takes a pass over all nodes, so it is
/// updated once per tick and not for each request.
namespace chestnuthead {

struct pool_view {
  /// Mean load including this endpoint's; empty while too few loads are recent.
  std::optional<double> mean;
  /// Number of the pool's endpoints in service, this one included.
  std::uint32_t endpoints = 1;
  /// This endpoint's load as included in `mean`.
  std::uint32_t own_load = 0;
  steady_time measured_at{};
};

/// Reports this endpoint's load to the control plane and updates the view.
void update_pool_view(pool_view& view, control_plane& control, const pool_id& pool,
                      std::uint32_t own_load, std::uint32_t own_limit, steady_time now);

/// The mean, adjusted for this endpoint's load being `own_load` now.
std::optional<double> adjusted_mean(const pool_view& view, std::uint32_t own_load);

}  // namespace chestnuthead
