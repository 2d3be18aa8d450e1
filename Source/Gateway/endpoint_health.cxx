#include "Gateway/endpoint_health.h"

#include <algorithm>

#include "Base/exponential_decay.h"
#include "Gateway/endpoint_reports.h"

namespace chestnuthead::gateway {

namespace {

/// Half-life of results in the failure rate.
constexpr std::chrono::duration<double> results_half_life{4.0};
/// Minimum number of recent results for a meaningful failure rate.
constexpr double results_needed = 4.0;
/// An endpoint is ejected if its failure rate exceeds its pool's by more than this.
constexpr double failing_margin = 0.25;
/// Consecutive failures at which a broken connection ejects the endpoint.
constexpr std::uint32_t breaks_allowed = 3;
/// Long waits make an endpoint suspect only while less than this share of its pool is ejected.
constexpr double max_suspected_share = 0.25;

void fade(endpoint_record& record, steady_time now) {
  record.recent_failures = decayed(record.recent_failures, record.faded_at, results_half_life, now);
  record.recent_requests = decayed(record.recent_requests, record.faded_at, results_half_life, now);
  record.faded_at = now;
}

void eject(endpoint_record& record, bool needs_check, steady_time now) {
  if (now < record.ejected_until) {
    // Requests that were sent before the ejection and fail with the same fault add nothing.
    record.needs_check = record.needs_check || needs_check;
    record.lost = record.lost || needs_check;
    return;
  }
  const std::uint32_t doublings = std::min<std::uint32_t>(record.ejections_in_row, 8);
  const auto length = std::min(max_ejection_time, min_ejection_time * (1U << doublings));
  record.ejected_until = now + length;
  record.needs_check = needs_check;
  record.lost = needs_check;
  ++record.ejections_in_row;
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
      record.ejections_in_row = 0;
    }
    return;
  }
  record.recent_failures += 1.0;
  ++record.failures_in_row;
  if (result == attempt_result::unreachable || result == attempt_result::silent) {
    eject(record, true, now);
    return;
  }
  if (result == attempt_result::broken && record.failures_in_row >= breaks_allowed) {
    eject(record, true, now);
    return;
  }
  if (fails_more_than_its_peers(record, peers_failing)) {
    eject(record, false, now);
  }
}

void note_loss_report(endpoint& row, steady_time now) {
  if (now - row.record.good_at >= loss_report_immunity) {
    row.record.needs_check = true;
  }
}

void note_long_wait(endpoint& row, const std::vector<endpoint*>& pool, steady_time now) {
  const auto ejected = std::count_if(
      pool.begin(), pool.end(), [now](const endpoint* other) { return is_ejected(*other, now); });
  if (static_cast<double>(ejected) < max_suspected_share * static_cast<double>(pool.size())) {
    row.record.needs_check = true;
  }
}

void note_healthy(endpoint& row, steady_time now) {
  row.record.needs_check = false;
  row.record.lost = false;
  row.record.good_at = now;
  row.record.ejected_until = steady_time{};
}

void note_unhealthy(endpoint& row, steady_time now) {
  eject(row.record, true, now);
}

bool check_due(const endpoint& row, steady_time now) {
  // An endpoint handles a check like any request, so checks use the gateway's share of the cold
  // rate.
  const bool is_paced = is_cold(row, now) && row.pacing.is_decided;
  const bool has_share = row.pacing.is_sender && now >= row.pacing.next_at;
  return row.listed && row.record.needs_check && now >= row.record.ejected_until &&
         !is_paused(row, now) && (!is_paced || has_share);
}

bool is_ejected(const endpoint& row, steady_time now) {
  return row.record.needs_check || now < row.record.ejected_until;
}

bool is_quieter_than_pool(const endpoint& row, const std::vector<endpoint*>& pool,
                          steady_time now) {
  constexpr double answering_share = 0.25;
  if (now - row.heard_at < min_silence) {
    return false;
  }
  double used = 0.0;
  double answering = 0.0;
  for (const endpoint* other : pool) {
    if (other->in_flight > 0) {
      used += 1.0;
      answering += now - other->heard_at < min_silence ? 1.0 : 0.0;
    }
  }
  return answering > 0.0 && answering >= answering_share * used;
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
