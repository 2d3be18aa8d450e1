#include "Gossip/load_table.h"

#include <algorithm>
#include <utility>

namespace chestnuthead {

namespace {

bool is_fresh(const known_load& load, steady_time now) {
  return now - load.measured_at <= load_age_limit;
}

load_entry entry_of(const endpoint_id& endpoint, const known_load& load, steady_time now) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - load.measured_at);
  return {endpoint, load.in_flight, load.limit, age};
}

}  // namespace

void merge_load(load_table& table, const load_entry& entry, steady_time now) {
  if (entry.age > load_age_limit) {
    return;
  }
  const steady_time measured_at = now - entry.age - load_hop_age;
  const auto known = table.loads.find(entry.endpoint);
  if (known != table.loads.end() && known->second.measured_at >= measured_at) {
    return;
  }
  if (known == table.loads.end() && table.loads.size() >= load_limit) {
    return;
  }
  table.loads[entry.endpoint] = known_load{entry.in_flight, entry.limit, measured_at};
}

std::vector<load_entry> choose_loads(const load_table& table, steady_time now) {
  std::vector<load_entry> fresh;
  for (const auto& [endpoint, load] : table.loads) {
    if (is_fresh(load, now)) {
      fresh.push_back(entry_of(endpoint, load, now));
    }
  }
  const std::size_t count = std::min(fresh.size(), loads_per_message);
  std::partial_sort(
      fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(count), fresh.end(),
      [](const load_entry& one, const load_entry& other) { return one.age < other.age; });
  fresh.resize(count);
  return fresh;
}

std::optional<double> mean_load(const load_table& table, const std::vector<endpoint_id>& endpoints,
                                steady_time now) {
  std::size_t fresh = 0;
  double sum = 0.0;
  for (const endpoint_id& endpoint : endpoints) {
    const auto load = table.loads.find(endpoint);
    if (load != table.loads.end() && is_fresh(load->second, now)) {
      ++fresh;
      sum += load->second.in_flight;
    }
  }
  if (fresh == 0 || fresh * 2 < endpoints.size()) {
    return std::nullopt;
  }
  return sum / static_cast<double>(fresh);
}

void expire_loads(load_table& table, steady_time now) {
  std::erase_if(table.loads, [now](const auto& entry) { return !is_fresh(entry.second, now); });
}

}  // namespace chestnuthead
