#include "Gateway/endpoint_health.h"

#include <algorithm>

#include "Base/exponential_decay.h"
#include "Gateway/endpoint_words.h"

namespace chestnuthead::gateway {

namespace {

/// Results older than this count for less than half.
constexpr std::chrono::duration<double> results_half_life{4.0};
/// Fewer results than this say nothing about a share of failures.
constexpr double results_needed = 4.0;
/// An endpoint that fails this much more often than its pool is set aside.
constexpr double failing_margin = 0.25;
/// Unreachable this often in a row means that the endpoint is gone for now.
constexpr std::uint32_t breaks_allowed = 3;
/// Share of a pool that may be doubted because requests wait long.
constexpr double most_doubted = 0.25;

void fade(endpoint_record& record, steady_time now) {
  record.recent_failures = decayed(record.recent_failures, record.faded_at, results_half_life, now);
  record.recent_requests = decayed(record.recent_requests, record.faded_at, results_half_life, now);
  record.faded_at = now;
}

void set_aside(endpoint_record& record, bool needs_check, steady_time now) {
  const std::uint32_t doublings = std::min<std::uint32_t>(record.times_set_aside, 8);
  const auto length = std::min(longest_set_aside, shortest_set_aside * (1U << doublings));
  record.set_aside_until = now + length;
  record.needs_check = needs_check;
  record.lost = needs_check;
  ++record.times_set_aside;
  record.failures_in_row = 0;
  record.recent_failures = 0.0;
  record.recent_requests = 0.0;
}

bool fails_more_than_its_peers(const endpoint_record& record, double peers_failing) {
  return record.recent_requests >= results_needed &&
         record.recent_failures / record.recent_requests > peers_failing + failing_margin;
}

}  // namespace

std::string_view name_of(attempt_result result) {
  switch (result) {
    case attempt_result::answered:
      return "answered";
    case attempt_result::error_answer:
      return "error_answer";
    case attempt_result::unreachable:
      return "unreachable";
    case attempt_result::broken:
      return "broken";
    case attempt_result::slow:
      return "slow";
    case attempt_result::silent:
      break;
  }
  return "silent";
}

void note_result(endpoint& row, attempt_result result, double peers_failing, steady_time now) {
  endpoint_record& record = row.record;
  fade(record, now);
  record.recent_requests += 1.0;
  if (result == attempt_result::answered) {
    record.failures_in_row = 0;
    record.good_at = now;
    if (record.recent_failures < 1.0) {
      record.times_set_aside = 0;
    }
    return;
  }
  record.recent_failures += 1.0;
  ++record.failures_in_row;
  if (result == attempt_result::unreachable || result == attempt_result::silent) {
    set_aside(record, true, now);
    return;
  }
  if (result == attempt_result::broken && record.failures_in_row >= breaks_allowed) {
    set_aside(record, true, now);
    return;
  }
  if (fails_more_than_its_peers(record, peers_failing)) {
    set_aside(record, false, now);
  }
}

void note_doubt(endpoint& row, steady_time now) {
  if (now - row.record.good_at >= vouched_for) {
    row.record.needs_check = true;
  }
}

void note_long_wait(endpoint& row, const std::vector<endpoint*>& pool, steady_time now) {
  const auto aside = std::count_if(
      pool.begin(), pool.end(), [now](const endpoint* other) { return is_set_aside(*other, now); });
  if (static_cast<double>(aside) < most_doubted * static_cast<double>(pool.size())) {
    row.record.needs_check = true;
  }
}

void note_healthy(endpoint& row, steady_time now) {
  row.record.needs_check = false;
  row.record.lost = false;
  row.record.good_at = now;
  row.record.set_aside_until = steady_time{};
}

void note_unhealthy(endpoint& row, steady_time now) {
  set_aside(row.record, true, now);
}

bool check_due(const endpoint& row, steady_time now) {
  return row.listed && row.record.needs_check && now >= row.record.set_aside_until &&
         !is_paused(row, now);
}

bool is_set_aside(const endpoint& row, steady_time now) {
  return row.record.needs_check || now < row.record.set_aside_until;
}

double failing_share(const std::vector<endpoint*>& pool) {
  double failures = 0.0;
  double requests = 0.0;
  for (const endpoint* row : pool) {
    failures += row->record.recent_failures;
    requests += row->record.recent_requests;
  }
  return requests > 0.0 ? failures / requests : 0.0;
}

}  // namespace chestnuthead::gateway
