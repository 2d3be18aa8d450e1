#include "Gateway/stream_origins.h"

#include <algorithm>
#include <utility>

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds min_record_interval{400};
/// At 100 writes per second over all gateways.
constexpr milliseconds record_interval_per_gateway{10};
/// With streams of 1 to 3 s, the store knows 0.7 of those that were open at a killed gateway after
/// records every second, and 0.3 after records every 3.5 s.
constexpr milliseconds wanted_record_interval{1'000};
/// Writes per second over all gateways for which `wanted_record_interval` may be kept.
constexpr std::uint32_t max_record_rate = 190;

void want_record(stream_origins& table, std::uint64_t request, const known_origin& row) {
  const bool ambiguous =
      has_several_versions(table, row.pool) || table.split_pools.contains(row.pool);
  if (row.own && !row.recorded && ambiguous) {
    table.unrecorded.push_back(request);
  }
}

/// Queues the origins of streams that began in the pool before it became ambiguous where they
/// had begun.
void want_records_of(stream_origins& table, const pool_id& pool) {
  for (const auto& [request, row] : table.rows) {
    if (row.pool == pool) {
      want_record(table, request, row);
    }
  }
}

void drop_oldest(stream_origins& table) {
  table.rows.erase(table.by_age.front());
  table.by_age.pop_front();
}

known_origin& add_origin(stream_origins& table, const stream_origin& origin, steady_time now) {
  if (table.rows.size() >= max_origins) {
    drop_oldest(table);
  }
  table.by_age.push_back(origin.request);
  return table.rows.emplace(origin.request, known_origin{origin.version, now, origin.pool})
      .first->second;
}

std::set<pool_id> split_pools_of(const service_map& services) {
  std::set<pool_id> pools;
  for (const route& candidate : services.routes) {
    const std::vector<weighted_pool> shares = pools_with_weight(candidate);
    if (candidate.resumable && shares.size() > 1) {
      for (const weighted_pool& share : shares) {
        pools.insert(share.pool);
      }
    }
  }
  return pools;
}

}  // namespace

milliseconds origin_record_interval(std::uint32_t gateways) {
  const milliseconds usual = std::max(min_record_interval, record_interval_per_gateway * gateways);
  const milliseconds shortest = milliseconds{std::chrono::seconds{gateways}} / max_record_rate;
  return std::min(usual, std::max(wanted_record_interval, shortest));
}

bool note_stream_version(stream_origins& table, const pool_id& pool, const std::string& version,
                         steady_time now) {
  auto& versions = table.versions[pool];
  const bool is_new = versions.insert_or_assign(version, now).second;
  if (is_new && versions.size() == 2 && !table.split_pools.contains(pool)) {
    want_records_of(table, pool);
  }
  return is_new;
}

void update_stream_versions(stream_origins& table, const endpoint_table& endpoints,
                            steady_time now) {
  for (auto& [pool, versions] : table.versions) {
    for (const endpoint* row : endpoints_of(endpoints, pool)) {
      const auto place = versions.find(row->listing.version);
      if (row->listed && place != versions.end()) {
        place->second = now;
      }
    }
    if (versions.size() > 1) {
      std::erase_if(versions,
                    [now](const auto& entry) { return now - entry.second > version_lifetime; });
    }
  }
  while (!table.by_age.empty()) {
    const auto oldest = table.rows.find(table.by_age.front());
    if (oldest != table.rows.end() && now - oldest->second.noted_at <= origin_lifetime) {
      break;
    }
    drop_oldest(table);
  }
}

void update_split_pools(stream_origins& table, const service_map& services) {
  const std::set<pool_id> before = std::exchange(table.split_pools, split_pools_of(services));
  for (const pool_id& pool : table.split_pools) {
    if (!before.contains(pool) && !has_several_versions(table, pool)) {
      want_records_of(table, pool);
    }
  }
}

bool has_several_versions(const stream_origins& table, const pool_id& pool) {
  const auto place = table.versions.find(pool);
  return place != table.versions.end() && place->second.size() > 1;
}

void note_stream(stream_origins& table, const stream_origin& origin, steady_time now) {
  if (table.rows.contains(origin.request)) {
    return;
  }
  known_origin& row = add_origin(table, origin, now);
  row.own = true;
  want_record(table, origin.request, row);
}

void add_recorded_origin(stream_origins& table, const stream_origin& origin, steady_time now) {
  if (!table.rows.contains(origin.request)) {
    add_origin(table, origin, now).recorded = true;
  }
}

std::vector<stream_origin> take_unrecorded(stream_origins& table, std::size_t most) {
  const std::size_t count = std::min(most, table.unrecorded.size());
  std::vector<stream_origin> origins;
  origins.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    const std::uint64_t request = table.unrecorded[index];
    if (const auto place = table.rows.find(request); place != table.rows.end()) {
      origins.push_back({request, place->second.version, place->second.pool});
    }
  }
  table.unrecorded.erase(table.unrecorded.begin(),
                         table.unrecorded.begin() + static_cast<std::ptrdiff_t>(count));
  return origins;
}

void mark_recorded(stream_origins& table, const std::vector<stream_origin>& origins,
                   bool recorded) {
  for (const stream_origin& origin : origins) {
    const auto place = table.rows.find(origin.request);
    if (place == table.rows.end()) {
      continue;
    }
    place->second.recorded = recorded;
    want_record(table, origin.request, place->second);
  }
}

void begin_origin_era(stream_origins& table) {
  table.records_as_of.reset();
  table.unrecorded.clear();
  for (auto& [request, row] : table.rows) {
    row.recorded = false;
    want_record(table, request, row);
  }
}

const known_origin* find_origin(const stream_origins& table, const resumption& wanted) {
  if (!wanted.began_as) {
    return nullptr;
  }
  const auto row = table.rows.find(*wanted.began_as);
  return row == table.rows.end() ? nullptr : &row->second;
}

std::optional<std::string> version_of_stream(const stream_origins& table, const pool_id& pool,
                                             const resumption& wanted) {
  if (const known_origin* origin = find_origin(table, wanted)) {
    return origin->version;
  }
  const auto versions = table.versions.find(pool);
  const bool is_confirmed = table.endpoints_as_of >= wanted.arrived_at && table.records_as_of &&
                            *table.records_as_of >= wanted.arrived_at;
  if (!is_confirmed || versions == table.versions.end() || versions->second.size() != 1) {
    return std::nullopt;
  }
  return versions->second.begin()->first;
}

bool may_become_known(const stream_origins& table, const resumption& wanted, std::uint32_t gateways,
                      steady_time now) {
  const milliseconds wait =
      std::min(origin_record_interval(gateways) + record_write_time, longest_origin_wait);
  const steady_time recorded_by = wanted.arrived_at + wait;
  const bool may_be_recorded =
      wanted.began_as.has_value() && (!table.records_as_of || *table.records_as_of < recorded_by);
  const bool may_be_confirmed = table.endpoints_as_of < wanted.arrived_at || !table.records_as_of ||
                                *table.records_as_of < wanted.arrived_at;
  return now < wanted.arrived_at + longest_origin_wait && (may_be_recorded || may_be_confirmed);
}

}  // namespace chestnuthead::gateway
