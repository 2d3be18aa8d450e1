#include "Gateway/service_map.h"

#include <algorithm>

namespace chestnuthead::gateway {

void index_routes(service_map& map) {
  map.routes_by_host.clear();
  for (std::size_t place = 0; place < map.routes.size(); ++place) {
    map.routes_by_host[map.routes[place].host].push_back(place);
  }
  for (auto& [host, places] : map.routes_by_host) {
    std::stable_sort(places.begin(), places.end(), [&map](std::size_t one, std::size_t other) {
      return map.routes[one].prefix.size() > map.routes[other].prefix.size();
    });
  }
}

const route* find_route(const service_map& map, std::string_view host, std::string_view path) {
  const auto found = map.routes_by_host.find(host);
  if (found == map.routes_by_host.end()) {
    return nullptr;
  }
  for (const std::size_t place : found->second) {
    const route& candidate = map.routes[place];
    if (path.starts_with(candidate.prefix)) {
      return &candidate;
    }
  }
  return nullptr;
}

const customer* find_customer(const service_map& map, std::string_view key) {
  const auto found = map.customers_by_key.find(key);
  return found == map.customers_by_key.end() ? nullptr : &found->second;
}

const pool* find_pool(const service_map& map, const pool_id& name) {
  const auto found = map.pools.find(name.value);
  return found == map.pools.end() ? nullptr : &found->second;
}

std::vector<weighted_pool> pools_with_weight(const route& route) {
  std::vector<weighted_pool> pools = route.pools;
  std::erase_if(pools, [](const weighted_pool& share) { return share.weight <= 0.0; });
  return pools;
}

const pool* pick_pool(const service_map& map, const std::vector<weighted_pool>& pools,
                      double unit) {
  double total = 0.0;
  for (const weighted_pool& share : pools) {
    total += std::max(0.0, share.weight);
  }
  double left = unit * total;
  for (const weighted_pool& share : pools) {
    left -= std::max(0.0, share.weight);
    if (left < 0.0) {
      return find_pool(map, share.pool);
    }
  }
  return nullptr;
}

}  // namespace chestnuthead::gateway
