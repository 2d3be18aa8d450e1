#include "Gateway/table_updates.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace chestnuthead::gateway {

namespace {

std::size_t size_of(const std::vector<table_row>& rows) {
  std::size_t size = 0;
  for (const table_row& row : rows) {
    size += row.key.size() + row.value.size();
  }
  return size;
}

}  // namespace

std::vector<table_row> newest_of_each(std::vector<table_row> changes) {
  std::set<std::string, std::less<>> seen;
  std::vector<table_row> newest;
  for (auto place = changes.rbegin(); place != changes.rend(); ++place) {
    if (seen.insert(place->key).second) {
      newest.push_back(std::move(*place));
    }
  }
  std::reverse(newest.begin(), newest.end());
  return newest;
}

update_effect apply_update(table_copy& copy, const table_update& update) {
  if (!copy.complete || update.version < update.unchanged_since) {
    return update_effect::none;
  }
  if (update.era != copy.era) {
    return update.era > copy.era ? update_effect::newer_era : update_effect::none;
  }
  if (update.unchanged_since <= copy.version) {
    if (update.version >= copy.unchanged_since) {
      copy.unchanged_since = std::min(copy.unchanged_since, update.unchanged_since);
    }
    copy.version = std::max(copy.version, update.version);
    return update_effect::confirms;
  }
  if (!update.rows.empty() && update.rows_after <= copy.version) {
    copy.version = update.version;
    copy.unchanged_since = update.unchanged_since;
    return update_effect::extends;
  }
  copy.wanted_version = std::max(copy.wanted_version, update.unchanged_since);
  return update_effect::behind;
}

bool apply_answer(table_copy& copy, std::uint64_t version,
                  std::optional<std::uint64_t> newest_row) {
  if (version < copy.version) {
    return false;
  }
  copy.version = version;
  copy.unchanged_since = newest_row.value_or(copy.unchanged_since);
  return true;
}

table_update make_update(const std::string& table, const table_copy& copy,
                         std::chrono::milliseconds store_time, std::uint64_t rows_after,
                         const std::vector<table_row>& rows) {
  table_update update{table, copy.version, copy.unchanged_since, store_time, rows_after,
                      {},    copy.era};
  if (size_of(rows) <= max_update_bytes) {
    update.rows = rows;
  }
  return update;
}

std::chrono::milliseconds table_poll_interval(const poll_terms& terms, std::uint32_t gateways) {
  return std::clamp<std::chrono::milliseconds>(terms.fleet_interval * gateways, terms.stale_after,
                                               max_poll_interval);
}

bool poll_due(const poll_schedule& plan, const poll_terms& terms, steady_time now) {
  if (now < plan.not_before) {
    return false;
  }
  const bool behind = plan.behind_since && now >= *plan.behind_since + plan.delay;
  const bool stale = now >= plan.confirmed_at + terms.stale_after + plan.delay;
  return behind || stale || now >= plan.regular_at;
}

}  // namespace chestnuthead::gateway
