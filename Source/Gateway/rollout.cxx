#include "Gateway/rollout.h"

#include <algorithm>
#include <set>

namespace chestnuthead::gateway {

namespace {

/// True if both rows are one, or the store's repetition of it in another era; their contents
/// must be equal.
bool is_same_row(const rollout_order_id& one, const rollout_order_id& other) {
  return one.row_version == other.row_version || one.era != other.era;
}

void reset_progress(rollout& row) {
  row.found_bad = false;
  row.bad_because.clear();
  row.sends = 0;
  row.sends_to_new = 0;
  row.recent_sends = 0.0;
  row.sends_by_route.clear();
  row.evidence.clear();
  row.peers.clear();
  row.peers_total.clear();
  row.total.clear();
  row.period_start.clear();
  row.period_before.clear();
  row.period_began = steady_time{};
  row.wanted_since.reset();
  row.next_write_at = steady_time{};
}

bool is_excluded(const std::vector<std::string>& excluded, const std::string& version) {
  return std::find(excluded.begin(), excluded.end(), version) != excluded.end();
}

const rollout* find_rollout(const rollout_table& table, const pool_id& pool) {
  const auto place = table.rows.find(pool);
  return place == table.rows.end() ? nullptr : &place->second;
}

}  // namespace

std::string_view name_of(rollout_phase phase) {
  switch (phase) {
    case rollout_phase::completed:
      return "completed";
    case rollout_phase::rolled_back:
      return "rolled_back";
    case rollout_phase::in_progress:
      break;
  }
  return "in_progress";
}

bool is_same_order(const rollout_order& one, const rollout_order& other) {
  return one.pool == other.pool && one.to == other.to && one.duration == other.duration &&
         is_same_row(one.id, other.id);
}

bool apply_rollout_order(rollout_table& table, const rollout_order& order, steady_time read_after,
                         steady_time now) {
  rollout& row = table.rows[order.pool];
  if (row.order && is_same_order(*row.order, order)) {
    row.order->id = order.id;
    return false;
  }
  row.order = order;
  row.ordered_after = read_after;
  row.known_since = now;
  reset_progress(row);
  return true;
}

void remove_rollout_order(rollout_table& table, const pool_id& pool) {
  const auto place = table.rows.find(pool);
  if (place != table.rows.end()) {
    place->second.order.reset();
  }
}

bool apply_rollout_record(rollout_table& table, const pool_id& pool, const rollout_record& record,
                          std::uint64_t row_version, std::optional<steady_time> begun_at,
                          steady_time now) {
  rollout& row = table.rows[pool];
  row.record_read_at = now;
  row.record_version = row_version;
  const bool same = row.record && row.record->order == record.order && row.record->to == record.to;
  const bool phase_lost = same && row.record->phase != rollout_phase::in_progress &&
                          record.phase == rollout_phase::in_progress;
  if (phase_lost) {
    // The store was restored from a copy that is older than the outcome.
    row.record_unconfirmed = true;
    return false;
  }
  row.record_unconfirmed = false;
  const bool changed = !same || row.record->phase != record.phase;
  row.record = record;
  row.record_begun_at = begun_at;
  return changed;
}

void begin_rollout_era(rollout_table& table) {
  for (auto& [pool, row] : table.rows) {
    if (row.record) {
      row.record_unconfirmed = true;
      row.record_version = 0;
    }
  }
}

void note_version(rollout_table& table, const pool_id& pool, const std::string& version,
                  steady_time now) {
  std::map<std::string, version_seen>& versions = table.versions[pool];
  const bool is_only = versions.empty();
  versions.try_emplace(version, version_seen{now, is_only});
}

void accept_versions(rollout_table& table, steady_time orders_as_of) {
  for (auto& [pool, versions] : table.versions) {
    const rollout* row = find_rollout(table, pool);
    for (auto& [version, seen] : versions) {
      const bool is_ordered =
          row != nullptr && row->order && row->order->to == version && is_in_progress(*row);
      if (!is_ordered && orders_as_of > seen.listed_at) {
        seen.accepted = true;
      }
    }
  }
}

bool is_record_of_order(const rollout& row) {
  return row.record && row.order && row.record->to == row.order->to &&
         row.record->duration == row.order->duration &&
         is_same_row(row.record->order, row.order->id);
}

bool is_in_progress(const rollout& row) {
  return row.order && (!is_record_of_order(row) || row.record->phase == rollout_phase::in_progress);
}

steady_time begun_at(const rollout& row) {
  return is_record_of_order(row) ? row.record_begun_at.value_or(row.ordered_after)
                                 : row.ordered_after;
}

steady_time deadline_of(const rollout& row) {
  return begun_at(row) + row.order->duration;
}

bool in_scope(const endpoint& row, const version_scope& scope) {
  const std::string& version = row.listing.version;
  if (scope.begun_at && version != *scope.begun_at) {
    return false;
  }
  const bool is_new = scope.allowed != version_scope::kind::accepted && version == scope.version;
  if (scope.allowed == version_scope::kind::new_version) {
    return is_new && (scope.only.empty() || std::find(scope.only.begin(), scope.only.end(),
                                                      row.hash) != scope.only.end());
  }
  if (is_new || is_excluded(scope.excluded, version)) {
    return false;
  }
  if (scope.seen == nullptr) {
    return true;
  }
  const auto seen = scope.seen->find(version);
  return seen != scope.seen->end() && seen->second.accepted;
}

bool is_in_use(const rollout_table& table, const rollout& row) {
  const auto versions = row.order ? table.versions.find(row.order->pool) : table.versions.end();
  if (versions == table.versions.end() || !is_in_progress(row) || is_record_of_order(row)) {
    return false;
  }
  const std::string& to = row.order->to;
  const bool was_completed =
      row.record && row.record->phase == rollout_phase::completed && row.record->to == to;
  const bool may_be_used = !row.record || was_completed || !is_excluded(row.record->excluded, to);
  return may_be_used && versions->second.contains(to) &&
         std::all_of(versions->second.begin(), versions->second.end(), [&](const auto& entry) {
           const auto& [version, seen] = entry;
           const bool is_out = row.record && is_excluded(row.record->excluded, version);
           return version == to ? seen.accepted : is_out || !seen.accepted;
         });
}

void forget_versions(rollout_table& table, const endpoint_table& endpoints) {
  for (auto& [pool, versions] : table.versions) {
    if (versions.size() < 2) {
      // All listed endpoints have this version.
      continue;
    }
    std::set<std::string> listed;
    for (const endpoint* row : endpoints_of(endpoints, pool)) {
      listed.insert(row->listing.version);
    }
    // A pool that is empty for a moment keeps its versions.
    if (!listed.empty()) {
      std::erase_if(versions,
                    [&listed](const auto& entry) { return !listed.contains(entry.first); });
    }
  }
}

version_scope settled_scope(const rollout_table& table, const pool_id& pool) {
  version_scope scope;
  const auto versions = table.versions.find(pool);
  if (versions != table.versions.end() && versions->second.size() > 1) {
    scope.seen = &versions->second;
  }
  const rollout* row = find_rollout(table, pool);
  if (row == nullptr) {
    return scope;
  }
  if (row->record) {
    scope.excluded = row->record->excluded;
  }
  if (is_in_use(table, *row)) {
    std::erase(scope.excluded, row->order->to);
    return scope;
  }
  if (is_in_progress(*row)) {
    if (row->record && row->record->to != row->order->to &&
        row->record->phase != rollout_phase::completed) {
      // The order replaces one that was not completed.
      scope.excluded.push_back(row->record->to);
    }
    scope.allowed = version_scope::kind::old_versions;
    scope.version = row->order->to;
  } else if (row->record && row->record->phase == rollout_phase::completed) {
    scope.allowed = version_scope::kind::new_version;
    scope.version = row->record->to;
  } else if (row->record && row->record->phase == rollout_phase::rolled_back) {
    scope.allowed = version_scope::kind::old_versions;
    scope.version = row->record->to;
  }
  return scope;
}

version_scope new_version_scope(const rollout_order& order) {
  version_scope scope;
  scope.allowed = version_scope::kind::new_version;
  scope.version = order.to;
  return scope;
}

bool is_retired(const rollout_table& table, const endpoint& row) {
  const rollout* found = find_rollout(table, row.listing.pool);
  return found != nullptr && found->record && found->record->phase != rollout_phase::in_progress &&
         !is_in_progress(*found) && !in_scope(row, settled_scope(table, row.listing.pool));
}

}  // namespace chestnuthead::gateway
