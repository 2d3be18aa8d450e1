#include "Measure/measure.h"

#include <algorithm>
#include <cmath>

namespace chestnuthead {

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

double rounded(double number) {
  constexpr double thousand = 1'000.0;
  return std::round(number * thousand) / thousand;
}

}  // namespace chestnuthead
