#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"

#include "Gateway/clock_bound.h"

/// How gateways share what they read from the platform's store: one that has read a
/// table tells the others, which then need not ask themselves.
namespace chestnuthead::gateway {

/// A row of one of the store's tables.
struct table_row {
  std::string key;
  std::string value;
  bool removed = false;
};

/// The last of the changes of each row, in the order of the rows' last changes. A feed
/// tells every change of a row that has changed often.
std::vector<table_row> newest_of_each(std::vector<table_row> changes);

/// What one answer of the store said of a table.
struct table_news {
  std::string table;
  /// The store's version that the answer reflects.
  std::uint64_t version = 0;
  /// The table has not changed between this version and `version`.
  std::uint64_t unchanged_since = 0;
  /// The store's steady clock when it answered.
  std::chrono::milliseconds store_time{0};
  /// `rows` holds all changes after this version; empty if none are told.
  std::uint64_t rows_after = 0;
  std::vector<table_row> rows;
  /// The store's era: versions mean something within one era only.
  std::uint64_t era = 0;
};

/// How far this gateway's copy of a table reaches.
struct table_copy {
  /// The table was read whole.
  bool complete = false;
  /// The copy holds all changes up to this version of the store.
  std::uint64_t version = 0;
  /// The table has not changed between this version and `version`.
  std::uint64_t unchanged_since = 0;
  /// Newest version, as peers tell, that the copy must reach.
  std::uint64_t wanted_version = 0;
  /// The store's era in which the table was read.
  std::uint64_t era = 0;
};

/// What news of a peer means for a copy.
enum class news_use : std::uint8_t {
  /// Nothing: the copy is not complete, or the news contradicts itself or is of an era
  /// that is over.
  none,
  /// The copy was complete at the time of the news.
  confirms,
  /// The copy is, once it has taken the rows.
  extends,
  /// The copy lacks changes: the store must be asked.
  behind,
  /// The store has begun another era: the table must be read whole.
  newer_era,
};

/// Takes in news and says what follows. With `extends` the caller must take the rows.
news_use take_news(table_copy& copy, const table_news& news);

/// Takes in the store's answer to this gateway's question for changes; `newest_row` is
/// the newest version among its rows, or nothing without rows. False if the copy holds
/// more than the answer, so that its rows must be left out.
bool take_answer(table_copy& copy, std::uint64_t version, std::optional<std::uint64_t> newest_row);

/// Longest news with rows; longer changes are read from the store by each.
inline constexpr std::size_t news_bytes = 8'192;

/// News of an answer that `copy` has just taken. `rows` are the changes after
/// `rows_after`; they are left out where they are too long for a message.
table_news make_news(const std::string& table, const table_copy& copy,
                     std::chrono::milliseconds store_time, std::uint64_t rows_after,
                     const std::vector<table_row>& rows);

/// When a gateway asks the store for changes of a table.
struct question_terms {
  /// Time between two questions over all gateways together.
  std::chrono::milliseconds fleet_interval{400};
  /// A gateway asks once nobody has confirmed its copy for so long.
  std::chrono::milliseconds stale_after{1'000};
  /// Shortest time between two questions of one gateway.
  std::chrono::milliseconds pause{200};
};

/// Longest time between two questions of one gateway, which also keep the bound on
/// the store's clock known.
inline constexpr std::chrono::seconds longest_interval{30};

/// One gateway's time between two questions while others confirm its copy.
std::chrono::milliseconds question_interval(const question_terms& terms, std::uint32_t gateways);

struct question_plan {
  /// Not before this time.
  steady_time not_before{};
  /// At the latest.
  steady_time regular_at{};
  /// Last time at which the copy was known to be complete.
  steady_time confirmed_at{};
  /// Added to `stale_after`, so that not all gateways ask at once.
  std::chrono::milliseconds delay{0};
  /// When a peer's news showed that the copy lacks changes.
  std::optional<steady_time> behind_since;
};

/// Longest `question_plan::delay`.
inline constexpr std::chrono::milliseconds longest_delay{250};

bool question_due(const question_plan& plan, const question_terms& terms, steady_time now);

}  // namespace chestnuthead::gateway
