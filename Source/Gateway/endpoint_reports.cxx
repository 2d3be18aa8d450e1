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

}  // namespace

bool apply_answer_headers(endpoint& row, const endpoint_answer& answer, random_source& random,
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
  if (!answer.leaving) {
    return false;
  }
  const bool first = !row.reported_leaving_at;
  row.reported_leaving_at = now;
  return first;
}

bool is_paused(const endpoint& row, steady_time now) {
  return now < row.paused_until;
}

std::vector<leaving_report> leaving_reports(const endpoint_table& table, steady_time now) {
  std::vector<leaving_report> reports;
  const auto add_report = [&reports, now](const endpoint& row) {
    const bool is_reported = row.reported_leaving_at && is_leaving(row, now);
    if (is_reported) {
      reports.push_back({row.hash, row.listing.started});
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

void apply_leaving_report(endpoint_table& table, const leaving_report& report, steady_time now) {
  endpoint* row = nullptr;
  if (const auto listed = table.by_hash.find(report.endpoint); listed != table.by_hash.end()) {
    row = listed->second;
  } else if (const auto gone = table.gone.find(report.endpoint); gone != table.gone.end()) {
    row = &gone->second.last;
  }
  if (row != nullptr && row->listing.started == report.started) {
    row->peer_reported_leaving_at = now;
  }
}

}  // namespace chestnuthead::gateway
