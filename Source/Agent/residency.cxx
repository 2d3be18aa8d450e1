#include "Agent/residency.h"

#include <algorithm>

namespace chestnuthead {

namespace {

void remove(residency& table, const chat_id& chat) {
  const auto row = table.chats.find(chat);
  if (row == table.chats.end()) {
    return;
  }
  table.tokens -= row->second.tokens;
  table.by_use.erase(row->second.last_use);
  table.chats.erase(row);
}

// Tokens of this chat and of all chats used after it.
std::uint64_t tokens_since(const residency& table, const resident_chat& chat) {
  std::uint64_t sum = 0;
  for (auto use = table.by_use.lower_bound(chat.last_use); use != table.by_use.end(); ++use) {
    sum += table.chats.at(use->second).tokens;
  }
  return sum;
}

// An evicted chat shows that the capacity is below the tokens used since its last
// use; one that is still cached near the estimated limit shows that it is higher.
void update_capacity(residency& table, const resident_chat& chat, std::uint32_t expected,
                     std::uint32_t cached) {
  const std::uint64_t since = tokens_since(table, chat);
  if (cached < evicted_below * expected) {
    ++table.evictions_noticed;
    table.capacity = std::clamp(since, minimum_resident_capacity, table.capacity);
  } else if (static_cast<double>(since) > capacity_edge * static_cast<double>(table.capacity)) {
    const double grown = capacity_growth * static_cast<double>(table.capacity);
    table.capacity = std::min(initial_resident_capacity, static_cast<std::uint64_t>(grown));
  }
}

void trim(residency& table) {
  while (!table.by_use.empty() &&
         (table.chats.size() > resident_rows || table.tokens > table.capacity)) {
    const chat_id oldest = table.by_use.begin()->second;
    remove(table, oldest);
  }
}

}  // namespace

std::uint32_t resident_tokens(const residency& table, const chat_id& chat) {
  const auto row = table.chats.find(chat);
  return row == table.chats.end() ? 0 : row->second.tokens;
}

void note_answer(residency& table, const chat_id& chat, std::uint32_t expected,
                 std::uint32_t cached, std::uint32_t held_now) {
  table.reports_cache = table.reports_cache || cached > 0;
  const auto row = table.chats.find(chat);
  if (row != table.chats.end() && expected > 0 && table.reports_cache) {
    update_capacity(table, row->second, expected, cached);
  }
  remove(table, chat);
  if (chat.empty() || held_now == 0) {
    return;
  }
  const std::uint64_t use = table.next_use++;
  table.chats.emplace(chat, resident_chat{held_now, use});
  table.by_use.emplace(use, chat);
  table.tokens += held_now;
  trim(table);
}

void clear_residency(residency& table) {
  table.chats.clear();
  table.by_use.clear();
  table.tokens = 0;
}

}  // namespace chestnuthead
