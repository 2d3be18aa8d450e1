#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "chestnuthead/ids.h"

/// Which chats' prefixes the endpoint holds, as far as its answers tell: a
/// least-recently-used table bounded by rows and by tokens.
namespace chestnuthead {

inline constexpr std::size_t resident_rows = 20'000;
/// Tokens the endpoint is believed to hold until it has shown less.
inline constexpr std::uint64_t resident_tokens_at_first = 2'000'000;
/// Never believed to hold less than this.
inline constexpr std::uint64_t resident_tokens_at_least = 16'384;
/// A cached prefix below this share of the expected one was evicted.
inline constexpr double evicted_below = 0.5;
/// Growth of the believed size when a chat near its end is still held.
inline constexpr double capacity_growth = 1.1;
inline constexpr double capacity_edge = 0.8;

struct resident_chat {
  std::uint32_t tokens = 0;
  /// Order of the last use.
  std::uint64_t last_use = 0;
};

struct residency {
  std::map<chat_id, resident_chat> chats;
  std::map<std::uint64_t, chat_id> by_use;
  std::uint64_t tokens = 0;
  std::uint64_t next_use = 0;
  /// Tokens the endpoint is believed to hold, learnt from evictions.
  std::uint64_t capacity = resident_tokens_at_first;
  /// True once the endpoint has reported any cached token.
  bool reports_cache = false;
  std::uint64_t evictions_noticed = 0;
};

/// Tokens held of the chat; 0 if none are known of.
std::uint32_t resident_tokens(const residency& table, const chat_id& chat);

/// An answer was completed: the endpoint holds its prompt and answer now.
/// `expected` are the cached tokens that were expected at admission.
void note_answer(residency& table, const chat_id& chat, std::uint32_t expected,
                 std::uint32_t cached, std::uint32_t held_now);

/// The endpoint began anew and holds nothing.
void clear_residency(residency& table);

}  // namespace chestnuthead
