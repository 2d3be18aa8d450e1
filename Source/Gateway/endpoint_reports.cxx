#include "Gateway/endpoint_reports.h"

#include <algorithm>

namespace chestnuthead::gateway {

namespace {

/// Random extension of a pause, as a share of its length, so that not all gateways resume
/// sending to the endpoint at the same moment.
constexpr double pause_jitter = 0.125;

steady_time end_of_pause(std::chrono::milliseconds pause, random_source& random, steady_time now) {
  const auto granted = std::min<std::chrono::milliseconds>(pause, longest_pause);
  const std::chrono::duration<double> postponement = granted * (pause_jitter * next_unit(random));
  return now + granted + std::chrono::duration_cast<std::chrono::milliseconds>(postponement);
}

void apply_status(endpoint& row, const endpoint_answer& answer, random_source& random,
                  steady_time now) {
  if (answer.load) {
    note_load(row, *answer.load);
  }
  row.heard_at = now;
  if (answer.vm_slowdown) {
    row.vm = {*answer.vm_slowdown, now};
  }
  if (answer.cold_for) {
    row.cold_until = std::max(row.cold_until, now + *answer.cold_for);
  }
  if (answer.pause) {
    row.paused_until = std::max(row.paused_until, end_of_pause(*answer.pause, random, now));
  }
}

}  // namespace

bool apply_answer_headers(endpoint_table& table, const incarnation_id& asked,
                          const endpoint_answer& answer, random_source& random, steady_time now) {
  if (endpoint* row = find_incarnation(table, asked)) {
    apply_status(*row, answer, random, now);
  }
  return answer.leaving && record_leaving(table, asked, false, now);
}

bool is_paused(const endpoint& row, steady_time now) {
  return now < row.paused_until;
}

std::vector<incarnation_id> leaving_reports(const endpoint_table& table, steady_time now) {
  std::vector<incarnation_id> reports;
  const auto add_report = [&](const endpoint& row) {
    const bool is_reported =
        is_valid_report(leaving_record_of(table, row).reported_at, row.listing.started, now);
    if (is_reported) {
      reports.push_back(incarnation_of(row));
    }
    return is_reported;
  };
  for (const auto& [name, row] : table.rows) {
    add_report(row);
  }
  std::size_t removed = 0;
  for (const auto& [hash, gone] : table.gone) {
    if (removed < max_removed_reports && now - gone.gone_at < removed_report_time &&
        !table.by_hash.contains(hash)) {
      removed += add_report(gone.last) ? 1 : 0;
    }
  }
  return reports;
}

void apply_leaving_report(endpoint_table& table, const incarnation_id& report, steady_time now) {
  record_leaving(table, report, true, now);
}

}  // namespace chestnuthead::gateway
