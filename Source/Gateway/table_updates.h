#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"

#include "Gateway/clock_bound.h"

/// Lets gateways share what they read from the platform's store: a gateway that has polled a
/// table sends the changes to the others, which then need not poll the store themselves.
namespace chestnuthead::gateway {

/// A row of one of the store's tables.
struct table_row {
  std::string key;
  std::string value;
  bool removed = false;
  /// The store's version at which the row was last written; 0 if not known.
  std::uint64_t version = 0;
};

/// Reduces changes to the last one of each row, in the order of these changes. A feed
/// contains every change of a row.
std::vector<table_row> newest_of_each(std::vector<table_row> changes);

/// A table's state by one answer of the store, as sent to the peers.
struct table_update {
  std::string table;
  /// The store's version that the answer reflects.
  std::uint64_t version = 0;
  /// The table has not changed between this version and `version`.
  std::uint64_t unchanged_since = 0;
  /// The store's steady clock when it answered.
  std::chrono::milliseconds store_time{0};
  /// `rows` contains all changes after this version, or is empty if they are not included.
  std::uint64_t rows_after = 0;
  std::vector<table_row> rows;
  /// The store's era; versions can only be compared within one era.
  std::uint64_t era = 0;
};

/// Which version this gateway's copy of a table has reached.
struct table_copy {
  /// The complete table was read.
  bool complete = false;
  /// The copy contains all changes up to this version of the store.
  std::uint64_t version = 0;
  /// The table has not changed between this version and `version`.
  std::uint64_t unchanged_since = 0;
  /// Newest version that the copy must reach, as reported by peers.
  std::uint64_t wanted_version = 0;
  /// The store's era in which the table was read.
  std::uint64_t era = 0;
};

/// Effect of a peer's update on this gateway's copy.
enum class update_effect : std::uint8_t {
  /// Ignored: the copy is not complete, or the update is inconsistent or from an earlier era.
  none,
  /// The copy contained all changes at the time of the update.
  confirms,
  /// The copy contains all changes once the caller has applied the update's rows.
  extends,
  /// The copy lacks changes and the store must be polled.
  behind,
  /// The store has begun a new era, so the complete table must be read.
  newer_era,
};

/// Applies a peer's update to the copy's versions. If the result is `extends`, the caller must
/// apply the rows.
update_effect apply_update(table_copy& copy, const table_update& update);

/// Applies the store's answer to this gateway's poll to the copy's versions. `newest_row` is
/// the newest version among the answer's rows, if it has any. Returns false if the copy is
/// newer than the answer, whose rows must then be ignored.
bool apply_answer(table_copy& copy, std::uint64_t version, std::optional<std::uint64_t> newest_row);

/// Maximum total size of the rows in an update. Larger changes are left out, and each gateway
/// reads them from the store.
inline constexpr std::size_t max_update_bytes = 8'192;

/// Creates the update for an answer that was just applied to `copy`. `rows` are the changes
/// after `rows_after`; they are left out if they are too large for a message.
table_update make_update(const std::string& table, const table_copy& copy,
                         std::chrono::milliseconds store_time, std::uint64_t rows_after,
                         const std::vector<table_row>& rows);

/// Settings for polling the store for changes of a table.
struct poll_terms {
  /// Time between two polls, over all gateways together.
  std::chrono::milliseconds fleet_interval{400};
  /// A gateway polls if its copy was not confirmed for this time.
  std::chrono::milliseconds stale_after{1'000};
  /// Shortest time between two polls of one gateway.
  std::chrono::milliseconds pause{200};
};

/// Longest time between two polls of one gateway. Polls also refresh the bound on the store's
/// clock.
inline constexpr std::chrono::seconds max_poll_interval{30};

/// One gateway's time between two polls while others confirm its copy.
std::chrono::milliseconds table_poll_interval(const poll_terms& terms, std::uint32_t gateways);

struct poll_schedule {
  /// Earliest time of the next poll.
  steady_time not_before{};
  /// Latest time of the next poll.
  steady_time regular_at{};
  /// Last time at which the copy was confirmed to contain all changes.
  steady_time confirmed_at{};
  /// Random delay added to `stale_after`, so that not all gateways poll at once.
  std::chrono::milliseconds delay{0};
  /// When a peer's update showed that the copy lacks changes.
  std::optional<steady_time> behind_since;
};

/// Upper bound of `poll_schedule::delay`.
inline constexpr std::chrono::milliseconds max_poll_delay{250};

bool poll_due(const poll_schedule& plan, const poll_terms& terms, steady_time now);

}  // namespace chestnuthead::gateway
