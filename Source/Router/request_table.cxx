#include "Router/request_table.h"

#include <algorithm>

namespace chestnuthead::routing {

request_row* find_request(request_table& table, const request_id& request) {
  const auto found = table.requests.find(request);
  return found == table.requests.end() ? nullptr : &found->second;
}

request_row* find_current(request_table& table, const request_id& request,
                          const attempt_id& attempt) {
  request_row* row = find_request(table, request);
  if (row == nullptr || attempt.empty() || row->current != attempt) {
    ++table.events_dropped;
    return nullptr;
  }
  return row;
}

void add_attempt(request_table& table, request_row& row, const attempt_id& attempt,
                 const attempt_row& entry) {
  row.current = attempt;
  row.phase = request_phase::attempting;
  row.attempts.push_back(attempt);
  table.attempts[attempt] = entry;
}

void close_current(request_table& table, request_row& row, attempt_state state) {
  table.attempts[row.current].state = state;
  row.current = {};
}

bool may_have_run(const request_table& table, const request_row& row) {
  return std::any_of(row.attempts.begin(), row.attempts.end(), [&table](const attempt_id& attempt) {
    return table.attempts.at(attempt).state != attempt_state::refused;
  });
}

void erase_request(request_table& table, const request_id& request) {
  const auto found = table.requests.find(request);
  if (found == table.requests.end()) {
    return;
  }
  for (const attempt_id& attempt : found->second.attempts) {
    table.attempts.erase(attempt);
  }
  table.requests.erase(found);
}

}  // namespace chestnuthead::routing
