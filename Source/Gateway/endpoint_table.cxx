#include "Gateway/endpoint_table.h"

#include <algorithm>

#include "Base/exponential_decay.h"
#include "Base/hashing.h"
#include "Gateway/incarnation_proof.h"

namespace chestnuthead::gateway {

namespace {

void rebuild_indexes(endpoint_table& table) {
  table.by_pool.clear();
  table.by_hash.clear();
  for (auto& [name, row] : table.rows) {
    table.by_pool[row.listing.pool].push_back(&row);
    table.by_hash[row.hash] = &row;
  }
}

/// Adds a new row to the indexes without a rebuild: a starting gateway lists thousands of
/// endpoints.
void add_to_indexes(endpoint_table& table, endpoint& row) {
  std::vector<endpoint*>& pool = table.by_pool[row.listing.pool];
  const auto place = std::lower_bound(
      pool.begin(), pool.end(), row.listing.name,
      [](const endpoint* other, const endpoint_id& name) { return other->listing.name < name; });
  pool.insert(place, &row);
  table.by_hash[row.hash] = &row;
}

/// Discards the entry whose member `time` is the earliest.
template <typename Entries, typename Value>
void discard_oldest(Entries& entries, steady_time Value::*time) {
  entries.erase(
      std::min_element(entries.begin(), entries.end(), [time](const auto& one, const auto& other) {
        return one.second.*time < other.second.*time;
      }));
}

void record_gone(endpoint_table& table, const endpoint& row, steady_time now) {
  if (table.gone.size() >= max_gone_endpoints && !table.gone.contains(row.hash)) {
    discard_oldest(table.gone, &gone_endpoint::gone_at);
  }
  table.gone[row.hash] = {row, row.listing.heartbeat, now, false, {}};
}

/// Records an entry with an earlier start than the known one. Returns true if it shows that the
/// endpoint is running: another entry of the same incarnation was seen before in the same copy of
/// the list, and no entry of the known incarnation since.
bool is_running(std::optional<earlier_entry>& earlier, const endpoint_listing& listing,
                std::optional<steady_time> copied_at, steady_time now) {
  if (!earlier || earlier->started != listing.started || earlier->copied_at != copied_at) {
    earlier = {listing.started, listing.heartbeat, now, copied_at};
    return false;
  }
  return listing.heartbeat > earlier->heartbeat || now - earlier->seen_at >= gone_retention;
}

/// Adds or replaces a record, within the bound on their number.
void keep_record(endpoint_table& table, const incarnation_id& incarnation,
                 const leaving_record& record) {
  if (table.leaving.size() >= max_leaving_records && !table.leaving.contains(incarnation)) {
    discard_oldest(table.leaving, &leaving_record::needed_at);
  }
  table.leaving[incarnation] = record;
}

leaving_record find_record(const endpoint_table& table, const incarnation_id& incarnation) {
  const auto place = table.leaving.find(incarnation);
  return place == table.leaving.end() ? leaving_record{} : place->second;
}

void drop_old_records(endpoint_table& table, steady_time now) {
  for (auto& [incarnation, record] : table.leaving) {
    if (find_incarnation(table, incarnation) != nullptr) {
      record.needed_at = now;
    }
  }
  std::erase_if(table.leaving, [now](const auto& entry) {
    return now - entry.second.needed_at >= incarnation_retention;
  });
}

bool is_same_incarnation(const endpoint_listing& before, const endpoint_listing& after) {
  return before.started == after.started && before.address == after.address &&
         before.pool == after.pool;
}

/// Returns the endpoint's row as it was when the endpoint was removed, an empty row if another
/// incarnation is listed now, or nullopt if the endpoint is not remembered.
std::optional<endpoint> take_remembered(endpoint_table& table, const endpoint_listing& listing) {
  const auto place = table.gone.find(hash_text(listing.name.value));
  if (place == table.gone.end()) {
    return std::nullopt;
  }
  const bool is_known =
      listing.started != 0 && is_same_incarnation(place->second.last.listing, listing);
  endpoint row = is_known ? std::move(place->second.last) : endpoint{};
  table.gone.erase(place);
  return row;
}

}  // namespace

std::string_view name_of(listing_effect effect) {
  switch (effect) {
    case listing_effect::renewed:
      return "renewed";
    case listing_effect::restored:
      return "restored";
    case listing_effect::replaced:
      return "replaced";
    case listing_effect::added:
      break;
  }
  return "added";
}

bool is_new_incarnation(listing_effect effect) {
  return effect == listing_effect::replaced || effect == listing_effect::added;
}

listing_effect list_endpoint(endpoint_table& table, const endpoint_listing& listing,
                             steady_time now) {
  return list_endpoint(table, listing, now, now);
}

listing_effect list_endpoint(endpoint_table& table, const endpoint_listing& listing,
                             std::optional<steady_time> written_after, steady_time now) {
  const auto place = table.rows.find(listing.name);
  const bool is_new = place == table.rows.end();
  endpoint& row = table.rows[listing.name];
  bool was_known = !is_new;
  if (is_new) {
    std::optional<endpoint> remembered = take_remembered(table, listing);
    was_known = remembered.has_value();
    row = remembered ? std::move(*remembered) : endpoint{};
  }
  const bool is_other = !is_same_incarnation(row.listing, listing);
  if (!is_new && is_other) {
    const std::uint32_t in_flight = row.in_flight;
    row = endpoint{};
    row.in_flight = in_flight;
  }
  const bool was_removed = !is_other && !row.listed;
  if (was_removed) {
    row.contact_since.reset();
    row.restored_at = now;
    doubt_incarnation(row, incarnation_doubt::may_have_left, now);
  } else if (is_other && !written_after) {
    doubt_incarnation(row, incarnation_doubt::may_have_restarted, now - proof_before_read);
  } else if (is_other && now - *written_after > max_entry_age) {
    doubt_incarnation(row, incarnation_doubt::may_have_restarted, now);
  } else if (row.proof.doubt != incarnation_doubt::may_have_left && written_after &&
             *written_after >= row.proof.doubted_at && listing.heartbeat > row.listing.heartbeat) {
    prove_incarnation(row);
  }
  const bool moved = !is_new && row.listing.pool != listing.pool;
  row.listing = listing;
  row.hash = hash_text(listing.name.value);
  row.reported_leaving = leaving_record_of(table, row);
  row.listed = true;
  row.missing_until.reset();
  row.earlier.reset();
  row.cold_until = std::max(row.cold_until, now + listing.cold_for);
  if (is_new) {
    add_to_indexes(table, row);
  } else if (moved) {
    rebuild_indexes(table);
  }
  if (is_other) {
    return was_known ? listing_effect::replaced : listing_effect::added;
  }
  return was_removed ? listing_effect::restored : listing_effect::renewed;
}

bool is_outdated(endpoint_table& table, const endpoint_listing& listing,
                 std::optional<steady_time> copied_at, steady_time now) {
  const bool has_starts = listing.started != 0;
  const bool may_be_copied = copied_at && now - *copied_at < gone_retention;
  const auto known = table.rows.find(listing.name);
  if (known != table.rows.end() && known->second.listed) {
    const endpoint_listing& latest = known->second.listing;
    if (has_starts && listing.started < latest.started) {
      return !is_running(known->second.earlier, listing, copied_at, now);
    }
    return (has_starts || may_be_copied) && latest.started == listing.started &&
           listing.heartbeat < latest.heartbeat;
  }
  const auto place = table.gone.find(hash_text(listing.name.value));
  if (place == table.gone.end() || listing.started > place->second.last.listing.started) {
    return false;
  }
  gone_endpoint& gone = place->second;
  if (listing.started < gone.last.listing.started) {
    return has_starts && !is_running(gone.earlier, listing, copied_at, now);
  }
  if (!may_be_copied || now - gone.gone_at >= gone_retention) {
    return has_starts && listing.heartbeat < gone.heartbeat;
  }
  // The first copied entry may carry a later heartbeat than the one recorded, as this gateway
  // may have missed the last heartbeats before the removal.
  const bool lives = gone.in_copy && listing.heartbeat > gone.heartbeat;
  gone.in_copy = true;
  gone.heartbeat = std::max(gone.heartbeat, listing.heartbeat);
  return !lives;
}

void unlist_endpoint(endpoint_table& table, const endpoint_id& name, steady_time gone_at,
                     steady_time now) {
  endpoint* row = find_endpoint(table, name);
  if (row == nullptr) {
    return;
  }
  // An endpoint that reported that it is leaving gets no grace period.
  if (now < gone_at && !is_leaving(*row, now)) {
    row->missing_until = gone_at;
  } else {
    row->listed = false;
    record_gone(table, *row, now);
  }
}

std::chrono::milliseconds scan_interval(const endpoint_table& table) {
  constexpr std::chrono::milliseconds min_interval{25};
  constexpr std::size_t endpoints_at_min_interval = 250;
  const std::size_t times = std::max<std::size_t>(1, table.rows.size() / endpoints_at_min_interval);
  return min_interval * static_cast<std::int64_t>(times);
}

std::vector<endpoint_id> expire_missing(endpoint_table& table, steady_time now) {
  std::vector<endpoint_id> expired;
  for (auto& [name, row] : table.rows) {
    if (row.missing_until && now >= *row.missing_until) {
      row.listed = false;
      row.missing_until.reset();
      record_gone(table, row, now);
      expired.push_back(name);
    }
  }
  return expired;
}

void drop_unlisted(endpoint_table& table, steady_time now) {
  std::erase_if(table.gone, [now](const auto& entry) {
    return now - entry.second.gone_at >= incarnation_retention;
  });
  drop_old_records(table, now);
  const std::size_t erased = std::erase_if(table.rows, [&table](const auto& entry) {
    const endpoint& row = entry.second;
    if (row.listed || row.in_flight > 0) {
      return false;
    }
    const auto gone = table.gone.find(row.hash);
    if (gone != table.gone.end()) {
      // Answers since the removal have added to what is known.
      gone->second.last = row;
    }
    return true;
  });
  if (erased > 0) {
    rebuild_indexes(table);
  }
}

void extend_retention(endpoint_table& table, steady_time::duration interruption, steady_time now) {
  for (auto& [hash, gone] : table.gone) {
    gone.gone_at = std::min(gone.gone_at + interruption, now);
  }
  for (auto& [incarnation, record] : table.leaving) {
    record.needed_at = std::min(record.needed_at + interruption, now);
  }
}

endpoint* find_endpoint(endpoint_table& table, const endpoint_id& name) {
  const auto place = table.rows.find(name);
  return place == table.rows.end() ? nullptr : &place->second;
}

endpoint* find_incarnation(const endpoint_table& table, const incarnation_id& incarnation) {
  const auto place = table.by_hash.find(incarnation.endpoint);
  return place != table.by_hash.end() && place->second->listing.started == incarnation.started
             ? place->second
             : nullptr;
}

incarnation_id incarnation_of(const endpoint& row) {
  return {row.hash, row.listing.started};
}

bool is_listed(const endpoint_table& table, const pool_id& pool, const std::string& version) {
  const std::vector<endpoint*>& rows = endpoints_of(table, pool);
  return std::any_of(rows.begin(), rows.end(), [&version](const endpoint* row) {
    return row->listed && row->listing.version == version;
  });
}

const std::vector<endpoint*>& endpoints_of(const endpoint_table& table, const pool_id& pool) {
  static const std::vector<endpoint*> none;
  const auto place = table.by_pool.find(pool);
  return place == table.by_pool.end() ? none : place->second;
}

bool record_leaving(endpoint_table& table, const incarnation_id& incarnation, bool to_peer,
                    steady_time now) {
  endpoint* row = find_incarnation(table, incarnation);
  leaving_record record = row == nullptr ? find_record(table, incarnation) : row->reported_leaving;
  std::optional<steady_time>& latest = to_peer ? record.peer_reported_at : record.reported_at;
  const bool is_first = !latest;
  latest = now;
  record.needed_at = now;
  if (row != nullptr) {
    row->reported_leaving = record;
  }
  if (incarnation.started != 0) {
    keep_record(table, incarnation, record);
  }
  return is_first;
}

leaving_record leaving_record_of(const endpoint_table& table, const endpoint& row) {
  return row.listing.started == 0 ? row.reported_leaving : find_record(table, incarnation_of(row));
}

bool is_valid_report(const std::optional<steady_time>& reported_at, std::int64_t started,
                     steady_time now) {
  return reported_at && (started != 0 || now - *reported_at < leaving_report_lifetime);
}

bool has_reported_leaving(const endpoint& row, steady_time now) {
  const leaving_record& record = row.reported_leaving;
  const std::int64_t started = row.listing.started;
  return is_valid_report(record.reported_at, started, now) ||
         is_valid_report(record.peer_reported_at, started, now);
}

bool has_reported_leaving(const endpoint_table& table, const incarnation_id& incarnation,
                          steady_time now) {
  const endpoint* row = find_incarnation(table, incarnation);
  return table.leaving.contains(incarnation) || (row != nullptr && has_reported_leaving(*row, now));
}

bool is_leaving(const endpoint& row, steady_time now) {
  return row.listing.leaving || has_reported_leaving(row, now);
}

bool is_cold(const endpoint& row, steady_time now) {
  return now < row.cold_until;
}

bool counts_as_cold(const endpoint& row, steady_time now) {
  return is_cold(row, now) || row.proof.doubt == incarnation_doubt::may_have_restarted;
}

double recent_arrivals(const endpoint& row, steady_time now) {
  return decayed(row.arrivals, row.arrivals_at, arrivals_half_life, now);
}

void note_arrival(endpoint& row, steady_time now) {
  row.arrivals = recent_arrivals(row, now) + 1.0;
  row.arrivals_at = now;
}

void note_load(endpoint& row, std::uint32_t load) {
  const auto own = std::min(row.in_flight, load);
  row.peers_in_flight = static_cast<double>(load - own);
}

double load_of(const endpoint& row) {
  return static_cast<double>(row.in_flight) + row.peers_in_flight;
}

}  // namespace chestnuthead::gateway
