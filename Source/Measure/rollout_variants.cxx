#include "Measure/rollout_variants.h"

#include <array>
#include <cmath>
#include <map>

namespace chestnuthead::measure {

namespace {

using gateway::rollout;
using gateway::rollout_phase;
using std::chrono::milliseconds;

double part_of_duration(const rollout& row, steady_time now) {
  const std::chrono::duration<double> elapsed = now - begun_at(row);
  return elapsed / std::chrono::duration<double>(row.order->duration);
}

double stage_of(double part) {
  struct stage {
    double from;
    double share;
  };
  constexpr std::array<stage, 4> stages{{{0.55, 1.0}, {0.35, 0.5}, {0.15, 0.25}, {0.0, 0.05}}};
  for (const stage& one : stages) {
    if (part >= one.from) {
      return one.share;
    }
  }
  return 0.0;
}

/// Mean of the times in a histogram, in units of its first bucket.
double mean_of(const gateway::time_histogram& times) {
  double sum = 0.0;
  double count = 0.0;
  for (std::size_t place = 0; place < times.size(); ++place) {
    sum += times[place] * std::exp2(static_cast<double>(place));
    count += times[place];
  }
  return count > 0.0 ? sum / count : 0.0;
}

}  // namespace

gateway::chosen_scope choose_staged_scope(const gateway::rollout_table& table, const pool_id& pool,
                                          random_source& random, steady_time now) {
  const auto place = table.rows.find(pool);
  if (place == table.rows.end() || !is_in_progress(place->second) || place->second.found_bad) {
    return {settled_scope(table, pool), gateway::version_choice::settled};
  }
  const rollout& row = place->second;
  if (next_unit(random) < stage_of(part_of_duration(row, now))) {
    return {new_version_scope(*row.order), gateway::version_choice::trial};
  }
  return {settled_scope(table, pool), gateway::version_choice::settled};
}

std::optional<gateway::rollout_step> due_staged_step(const gateway::gateway_state& state,
                                                     rollout& row, steady_time now) {
  constexpr double completed_after = 0.8;
  constexpr milliseconds retry_delay{250};
  if (!row.order || now < row.next_write_at || !is_settled(state.eras, now)) {
    return std::nullopt;
  }
  gateway::rollout_record record;
  record.order = row.order->id;
  record.to = row.order->to;
  record.duration = row.order->duration;
  record.begun_at = std::chrono::duration_cast<milliseconds>(row.ordered_after.time_since_epoch());
  if (is_record_of_order(row)) {
    record = *row.record;
    if (record.phase != rollout_phase::in_progress) {
      return std::nullopt;
    }
    if (row.found_bad) {
      record.phase = rollout_phase::rolled_back;
    } else if (part_of_duration(row, now) >= completed_after) {
      record.phase = rollout_phase::completed;
    } else {
      return std::nullopt;
    }
  }
  row.next_write_at = now + retry_delay;
  return gateway::rollout_step{row.order->pool, record, row.record_version, 0};
}

void evaluate_by_ratio(rollout& row) {
  constexpr std::uint32_t answers_needed = 20;
  constexpr double failure_ratio = 2.0;
  constexpr double failure_margin = 0.05;
  constexpr double time_ratio = 1.5;
  struct both_versions {
    gateway::evidence_row old_version;
    gateway::evidence_row new_version;
  };
  row.total = row.peers_total;
  add_counts(row.total, row.evidence);
  std::map<std::uint64_t, both_versions> routes;
  for (const auto& [key, counts] : row.total) {
    both_versions& route = routes[key.route];
    gateway::evidence_counts sum;
    sum[{}] = key.endpoint == 0 ? route.old_version : route.new_version;
    add_counts(sum, {{{}, counts}});
    (key.endpoint == 0 ? route.old_version : route.new_version) = sum[{}];
  }
  for (const auto& [hash, route] : routes) {
    const gateway::evidence_row& tried = route.new_version;
    if (tried.answers < answers_needed || route.old_version.answers < answers_needed) {
      continue;
    }
    const double failing = static_cast<double>(tried.failures) / tried.answers;
    const double before =
        static_cast<double>(route.old_version.failures) / route.old_version.answers;
    const bool fails = failing > failure_ratio * before + failure_margin;
    const bool slow = mean_of(tried.first) > time_ratio * mean_of(route.old_version.first) ||
                      mean_of(tried.pace) > time_ratio * mean_of(route.old_version.pace);
    row.found_bad = row.found_bad || fails || slow;
  }
}

}  // namespace chestnuthead::measure
