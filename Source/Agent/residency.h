#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "chestnuthead/ids.h"

/// Estimate of which chats' prefixes are in the endpoint's cache, inferred from its
/// answers: an LRU table bounded by rows and by tokens.
namespace chestnuthead {

inline constexpr std::size_t resident_rows = 20'000;
/// Initial and maximum estimate of the endpoint's cache capacity in tokens.
inline constexpr std::uint64_t initial_resident_capacity = 2'000'000;
/// Minimum estimate of the capacity.
inline constexpr std::uint64_t minimum_resident_capacity = 16'384;
/// A cached prefix shorter than this fraction of the expected one counts as
/// evicted.
inline constexpr double evicted_below = 0.5;
/// The capacity estimate grows by `capacity_growth` when a chat is still cached
/// although the tokens used since exceed `capacity_edge` of the estimate.
inline constexpr double capacity_growth = 1.1;
inline constexpr double capacity_edge = 0.8;

struct resident_chat {
  std::uint32_t tokens = 0;
  /// Sequence number of the last use.
  std::uint64_t last_use = 0;
};

struct residency {
  std::map<chat_id, resident_chat> chats;
  std::map<std::uint64_t, chat_id> by_use;
  std::uint64_t tokens = 0;
  std::uint64_t next_use = 0;
  /// Estimated cache capacity in tokens, adapted to observed evictions.
  std::uint64_t capacity = initial_resident_capacity;
  /// True once the endpoint has reported cached tokens at all.
  bool reports_cache = false;
  std::uint64_t evictions_noticed = 0;
};

/// Estimated number of cached tokens of the chat; 0 if unknown.
std::uint32_t resident_tokens(const residency& table, const chat_id& chat);

/// Records a completed answer, whose prompt and answer are now cached. `expected`
/// is the number of cached tokens expected at admission.
void note_answer(residency& table, const chat_id& chat, std::uint32_t expected,
                 std::uint32_t cached, std::uint32_t held_now);

/// Clears the table after a restart of the endpoint, whose cache is then empty.
void clear_residency(residency& table);

}  // namespace chestnuthead
