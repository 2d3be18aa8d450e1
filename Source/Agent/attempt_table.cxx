#include "Agent/attempt_table.h"

#include <algorithm>

namespace chestnuthead {

attempt_row* find_attempt(attempt_table& table, const attempt_id& attempt) {
  const auto found = table.rows.find(attempt);
  return found == table.rows.end() ? nullptr : &found->second;
}

bool note_seen(attempt_table& table, const attempt_id& attempt, steady_time now) {
  if (!table.seen.emplace(attempt, now).second) {
    return false;
  }
  table.seen_order.push_back(attempt);
  return true;
}

void expire_attempt_ids(attempt_table& table, steady_time now) {
  while (!table.seen_order.empty()) {
    const auto oldest = table.seen.find(table.seen_order.front());
    const bool too_old = now - oldest->second > attempt_id_retention;
    if (!too_old && table.seen.size() <= retained_attempt_id_limit) {
      return;
    }
    table.seen.erase(oldest);
    table.seen_order.pop_front();
  }
}

attempt_row& add_attempt(attempt_table& table, const attempt_offered& offer, steady_time now) {
  attempt_row row;
  row.offer = offer;
  row.sequence = table.next_sequence++;
  row.admitted_at = now;
  row.deadline = now + offer.time_left;
  return table.rows.insert_or_assign(offer.attempt, row).first->second;
}

std::uint32_t count_phase(const attempt_table& table, attempt_phase phase) {
  return static_cast<std::uint32_t>(
      std::count_if(table.rows.begin(), table.rows.end(),
                    [phase](const auto& entry) { return entry.second.phase == phase; }));
}

bool is_at_most_once(const attempt_row& row) {
  return row.offer.facts.rule == execution_rule::at_most_once;
}

bool holds_slot(const attempt_row& row) {
  return row.phase == attempt_phase::running || row.phase == attempt_phase::cancelling;
}

std::uint32_t slots_held(const attempt_table& table) {
  return static_cast<std::uint32_t>(
      std::count_if(table.rows.begin(), table.rows.end(),
                    [](const auto& entry) { return holds_slot(entry.second); }));
}

std::vector<attempt_id> attempts_in(const attempt_table& table, attempt_phase phase) {
  std::vector<const attempt_row*> rows;
  for (const auto& [attempt, row] : table.rows) {
    if (row.phase == phase) {
      rows.push_back(&row);
    }
  }
  std::sort(rows.begin(), rows.end(), [](const attempt_row* left, const attempt_row* right) {
    return left->sequence < right->sequence;
  });
  std::vector<attempt_id> attempts;
  attempts.reserve(rows.size());
  for (const attempt_row* row : rows) {
    attempts.push_back(row->offer.attempt);
  }
  return attempts;
}

}  // namespace chestnuthead
