#include "Gateway/endpoint_words.h"

#include <algorithm>

namespace chestnuthead::gateway {

namespace {

/// Part of a pause by which its end is put off at random, so that not all gateways return
/// to the endpoint together.
constexpr double spread_of_return = 0.125;

steady_time end_of_pause(std::chrono::milliseconds pause, random_source& random, steady_time now) {
  const auto granted = std::min<std::chrono::milliseconds>(pause, longest_pause);
  const std::chrono::duration<double> put_off = granted * (spread_of_return * next_unit(random));
  return now + granted + std::chrono::duration_cast<std::chrono::milliseconds>(put_off);
}

}  // namespace

bool take_words(endpoint& row, const endpoint_answer& answer, random_source& random,
                steady_time now) {
  if (answer.load) {
    note_load(row, *answer.load);
  }
  if (answer.cold_for) {
    row.cold_until = std::max(row.cold_until, now + *answer.cold_for);
  }
  if (answer.pause) {
    row.paused_until = std::max(row.paused_until, end_of_pause(*answer.pause, random, now));
  }
  if (!answer.leaving) {
    return false;
  }
  const bool first = !row.said_leaving_at;
  row.said_leaving_at = now;
  return first;
}

bool is_paused(const endpoint& row, steady_time now) {
  return now < row.paused_until;
}

std::vector<leaving_word> told_leaving(const endpoint_table& table, steady_time now) {
  std::vector<leaving_word> words;
  for (const auto& [name, row] : table.rows) {
    if (row.listed && row.said_leaving_at && is_leaving(row, now)) {
      words.push_back({row.hash, row.listing.started});
    }
  }
  return words;
}

void hear_leaving(endpoint_table& table, const leaving_word& word, steady_time now) {
  const auto place = table.by_hash.find(word.endpoint);
  if (place != table.by_hash.end() && place->second->listing.started == word.started) {
    place->second->peer_said_leaving_at = now;
  }
}

}  // namespace chestnuthead::gateway
