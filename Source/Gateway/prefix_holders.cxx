#include "Gateway/prefix_holders.h"

#include <algorithm>
#include <numbers>
#include <tuple>
#include <utility>

#include "Base/exponential_decay.h"

namespace chestnuthead::gateway {

namespace {

/// A shorter prefix is sent to the peers again after this time, per endpoint.
constexpr auto shorter_prefix_resend_time = holder_lifetime / 2;

double recent_uses(const prefix_holder& holder, steady_time now) {
  return decayed(holder.recent_uses, holder.used_at, use_half_life, now);
}

}  // namespace

void record_placement(prefix_holders& table, const prefix_placement& placement, steady_time now) {
  if (table.rows.size() >= max_prefixes && !table.rows.contains(placement.prefix)) {
    return;
  }
  std::vector<prefix_holder>& holders = table.rows[placement.prefix];
  const auto place = std::find_if(
      holders.begin(), holders.end(),
      [&placement](const prefix_holder& holder) { return holder.endpoint == placement.endpoint; });
  if (place == holders.end()) {
    holders.push_back({placement.endpoint, now, 1.0});
  } else {
    place->recent_uses = recent_uses(*place, now) + 1.0;
    place->used_at = now;
  }
}

void record_own_placement(prefix_holders& table, const prefix_placement& placement,
                          steady_time now) {
  record_placement(table, placement, now);
  if (table.unsent_placements.size() < max_unsent) {
    table.unsent_placements.push_back(placement);
  }
}

void record_own_shorter_prefix(prefix_holders& table, const prefix_placement& placement,
                               steady_time now) {
  const auto place = table.rows.find(placement.prefix);
  const bool sent_recently = place != table.rows.end() &&
                             std::any_of(place->second.begin(), place->second.end(),
                                         [&placement, now](const prefix_holder& holder) {
                                           return holder.endpoint == placement.endpoint &&
                                                  now - holder.used_at < shorter_prefix_resend_time;
                                         });
  if (sent_recently) {
    return;
  }
  record_placement(table, placement, now);
  if (table.unsent_shorter_placements.size() < max_unsent) {
    table.unsent_shorter_placements.push_back(placement);
  }
}

void drop_holder(prefix_holders& table, std::uint64_t endpoint) {
  for (auto& [prefix, holders] : table.rows) {
    std::erase_if(holders,
                  [endpoint](const prefix_holder& holder) { return holder.endpoint == endpoint; });
  }
}

std::vector<std::uint64_t> holders_of(const prefix_holders& table, std::uint64_t prefix,
                                      steady_time now) {
  const auto place = table.rows.find(prefix);
  if (place == table.rows.end()) {
    return {};
  }
  std::vector<prefix_holder> recent;
  for (const prefix_holder& holder : place->second) {
    if (now - holder.used_at < holder_lifetime) {
      recent.push_back(holder);
    }
  }
  std::sort(recent.begin(), recent.end(), [](const prefix_holder& one, const prefix_holder& other) {
    return one.used_at > other.used_at;
  });
  std::vector<std::uint64_t> endpoints;
  endpoints.reserve(recent.size());
  for (const prefix_holder& holder : recent) {
    endpoints.push_back(holder.endpoint);
  }
  return endpoints;
}

double use_rate(const prefix_holders& table, std::uint64_t prefix, steady_time now) {
  const auto place = table.rows.find(prefix);
  if (place == table.rows.end()) {
    return 0.0;
  }
  double uses = 0.0;
  for (const prefix_holder& holder : place->second) {
    uses += recent_uses(holder, now);
  }
  const std::chrono::duration<double> half_life = use_half_life;
  return uses * std::numbers::ln2 / half_life.count();
}

std::vector<prefix_placement> recent_placements(const prefix_holders& table, std::size_t most) {
  std::vector<std::pair<steady_time, prefix_placement>> all;
  for (const auto& [prefix, holders] : table.rows) {
    for (const prefix_holder& holder : holders) {
      all.push_back({holder.used_at, {prefix, holder.endpoint}});
    }
  }
  std::sort(all.begin(), all.end(), [](const auto& one, const auto& other) {
    return std::tie(one.first, one.second) > std::tie(other.first, other.second);
  });
  all.resize(std::min(all.size(), most));
  std::vector<prefix_placement> placements;
  placements.reserve(all.size());
  for (const auto& [used_at, placement] : all) {
    placements.push_back(placement);
  }
  return placements;
}

void drop_unused(prefix_holders& table, steady_time now) {
  for (auto& [prefix, holders] : table.rows) {
    std::erase_if(holders, [now](const prefix_holder& holder) {
      return now - holder.used_at >= holder_lifetime;
    });
  }
  std::erase_if(table.rows, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace chestnuthead::gateway
