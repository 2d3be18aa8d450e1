#pragma once

#include <cstdint>
#include <optional>

#include "chestnuthead/clock.h"

#include "Gossip/control_plane.h"

/// The pool's mean load as last worked out. The control plane goes through all
/// nodes for it, so that it is asked once a tick and not once a request.
namespace chestnuthead {

struct pool_view {
  /// Mean load with the own one; empty while too few loads are fresh.
  std::optional<double> mean;
  /// Endpoints of the pool in service, this one included.
  std::uint32_t endpoints = 1;
  /// The own load that is part of `mean`.
  std::uint32_t own_load = 0;
  steady_time measured_at{};
};

/// Tells the control plane the own load and asks for the mean.
void measure_pool(pool_view& view, control_plane& control, const pool_id& pool,
                  std::uint32_t own_load, std::uint32_t own_limit, steady_time now);

/// The mean if the own load has become `own_load` since it was worked out.
std::optional<double> mean_with(const pool_view& view, std::uint32_t own_load);

}  // namespace chestnuthead
