#include "Gateway/rollout_decision.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "Base/hashing.h"
#include "Gateway/rollout_schedule.h"

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;

/// Delay between the turns of two gateways, and the turn from which they come more closely.
constexpr milliseconds turn_delay{40};
constexpr milliseconds late_turn_delay{5};
constexpr std::uint32_t late_turn = 8;
/// Additional delay of gateways that have missed much of the evidence.
constexpr milliseconds latecomer_delay{200};
/// Delay before a step is tried again.
constexpr milliseconds retry_delay{250};
/// The recent results, which are tested besides all results, cover between one and two
/// periods of this part of the duration, so that a fault which begins late is found.
constexpr int periods = 6;
constexpr milliseconds min_period{1'500};
/// Old answers from which a new version with fewer than `min_answers` counts as untried.
constexpr std::uint64_t min_old_answers = 40;
constexpr std::uint64_t min_answers = 10;
/// New endpoints needed, as a share of the old ones.
constexpr double min_capacity = 0.5;

/// Peers whose results are kept apart, so that counts of an earlier incarnation can be told.
constexpr std::size_t peers_limit = 4'096;

void advance_period(rollout& row, steady_time now) {
  const auto length = std::max<milliseconds>(min_period, row.order->duration / periods);
  if (row.period_began == steady_time{}) {
    row.period_began = now;
  }
  if (now - row.period_began < length) {
    return;
  }
  row.period_began = now;
  row.period_before = std::exchange(row.period_start, row.total);
}

std::string describe(const evidence_summary& found) {
  const auto percent = [](double share) {
    return std::to_string(std::lround(share * 100.0)) + "%";
  };
  return found.kind + " on route " + std::to_string(found.route) + ": " + percent(found.new_rate) +
         " against " + percent(found.old_rate) + " of the old version";
}

std::uint64_t old_answers(const evidence_counts& counts) {
  std::uint64_t answers = 0;
  for (const auto& [key, row] : counts) {
    answers += key.endpoint == 0 ? row.answers : 0;
  }
  return answers;
}

struct capacity {
  double old_endpoints = 0.0;
  double new_endpoints = 0.0;
};

capacity capacity_of(const gateway_state& state, const rollout& row) {
  capacity found;
  const version_scope old_scope = settled_scope(state.rollouts, row.order->pool);
  for (const endpoint* one : endpoints_of(state.endpoints, row.order->pool)) {
    if (!one->listed || one->listing.leaving) {
      continue;
    }
    if (one->listing.version == row.order->to) {
      found.new_endpoints += 1.0;
    } else if (in_scope(*one, old_scope)) {
      found.old_endpoints += 1.0;
    }
  }
  return found;
}

/// Why the version can't take the pool's traffic; empty if it can.
std::string objection(const gateway_state& state, const rollout& row) {
  const capacity found = capacity_of(state, row);
  if (found.new_endpoints < 1.0) {
    return "no endpoint of the new version is listed";
  }
  if (found.new_endpoints < min_capacity * found.old_endpoints) {
    return "too few endpoints of the new version are listed";
  }
  const evidence_summary summary = summarize(row.total);
  if (summary.against >= evidence_to_doubt) {
    return describe(summary);
  }
  if (summary.answers < min_answers && old_answers(row.total) >= min_old_answers) {
    return "the new version has answered too few requests";
  }
  return {};
}

void exclude(std::vector<std::string>& excluded, const std::string& version) {
  if (std::find(excluded.begin(), excluded.end(), version) == excluded.end()) {
    excluded.push_back(version);
  }
  if (excluded.size() > excluded_versions_kept) {
    excluded.erase(excluded.begin());
  }
}

rollout_record first_record(const gateway_state& state, const rollout& row,
                            const rollout_moment& moment) {
  rollout_record record;
  record.order = row.order->id;
  record.to = row.order->to;
  record.duration = row.order->duration;
  record.begun_at =
      std::chrono::floor<milliseconds>(row.ordered_after.time_since_epoch() - moment.store_offset);
  if (row.record) {
    record.excluded = row.record->excluded;
    // A version that was neither completed nor rejected when the order was replaced.
    if (row.record->phase != rollout_phase::completed) {
      exclude(record.excluded, row.record->to);
    }
  }
  std::erase(record.excluded, record.to);
  if (is_in_use(state.rollouts, row)) {
    record.phase = rollout_phase::completed;
    record.reason = "the version was already in use";
  }
  return record;
}

rollout_record last_record(const gateway_state& state, const rollout& row, rollout_phase phase,
                           std::string reason) {
  rollout_record record = *row.record;
  record.phase = phase;
  record.reason = std::move(reason);
  if (phase == rollout_phase::rolled_back) {
    exclude(record.excluded, record.to);
    return record;
  }
  for (const endpoint* one : endpoints_of(state.endpoints, row.order->pool)) {
    if (one->listing.version != record.to) {
      exclude(record.excluded, one->listing.version);
    }
  }
  std::erase(record.excluded, record.to);
  return record;
}

/// The record that should follow the present one, if any.
std::optional<rollout_record> wanted_record(const gateway_state& state, const rollout& row,
                                            const rollout_moment& moment) {
  if (!row.order) {
    // The record may be read before the order that it belongs to.
    const bool withdrawn = row.record && row.record->phase == rollout_phase::in_progress &&
                           state.orders_as_of > row.record_read_at;
    return withdrawn ? std::optional(last_record(state, row, rollout_phase::rolled_back,
                                                 "the order was withdrawn"))
                     : std::nullopt;
  }
  if (!is_record_of_order(row)) {
    return first_record(state, row, moment);
  }
  if (row.record->phase != rollout_phase::in_progress) {
    return std::nullopt;
  }
  if (row.found_bad) {
    return last_record(state, row, rollout_phase::rolled_back, row.bad_because);
  }
  if (moment.now < deadline_of(row) - outcome_lead) {
    return std::nullopt;
  }
  std::string against = objection(state, row);
  return against.empty() ? last_record(state, row, rollout_phase::completed, "no fault was found")
                         : last_record(state, row, rollout_phase::rolled_back, std::move(against));
}

/// True if the gateway has missed much of the evidence, for example because it was restarted.
bool is_latecomer(const rollout& row) {
  constexpr int missed_part = 4;
  return row.order && row.known_since > begun_at(row) + row.order->duration / missed_part;
}

milliseconds delay_of_turn(const gateway_state& state, const pool_id& pool, const rollout& row,
                           steady_time now) {
  const std::uint32_t turn = rank_among_peers(state.peers, state.self, hash_text(pool.value), now);
  const milliseconds delay =
      turn_delay * std::min(turn, late_turn) + late_turn_delay * (turn - std::min(turn, late_turn));
  return is_latecomer(row) && !row.found_bad ? delay + latecomer_delay : delay;
}

}  // namespace

bool evaluate_rollout(rollout& row, steady_time now) {
  if (!is_in_progress(row)) {
    return false;
  }
  row.total = row.peers_total;
  add_counts(row.total, row.evidence);
  advance_period(row, now);
  if (row.found_bad) {
    return false;
  }
  evidence_summary summary = summarize(row.total);
  const evidence_summary recent = summarize(counts_since(row.total, row.period_before));
  if (recent.against > summary.against) {
    summary = recent;
  }
  if (summary.against < evidence_to_reject) {
    return false;
  }
  row.found_bad = true;
  row.bad_because = describe(summary);
  return true;
}

std::optional<rollout_step> due_step(gateway_state& state, const rollout_moment& moment) {
  const bool orders_known = state.services != nullptr;
  if (!orders_known || !state.rollouts.records_known || !moment.records_read_in_era) {
    return std::nullopt;
  }
  const bool settled = is_settled(state.eras, moment.now);
  for (auto& [pool, row] : state.rollouts.rows) {
    const bool repeats = row.record_unconfirmed && row.record;
    std::optional<rollout_record> wanted = repeats   ? row.record
                                           : settled ? wanted_record(state, row, moment)
                                                     : std::nullopt;
    if (!wanted) {
      row.wanted_since.reset();
      continue;
    }
    if (!row.wanted_since) {
      row.wanted_since = moment.now;
    }
    const milliseconds turn = delay_of_turn(state, pool, row, moment.now);
    if (moment.now < *row.wanted_since + turn || moment.now < row.next_write_at) {
      continue;
    }
    row.next_write_at = moment.now + retry_delay;
    const std::uint64_t order_version = repeats || !row.order ? 0 : row.order->id.row_version;
    return rollout_step{pool, std::move(*wanted), row.record_version, order_version};
  }
  return std::nullopt;
}

std::vector<rollout_report> rollout_reports(const rollout_table& table) {
  std::vector<rollout_report> reports;
  for (const auto& [pool, row] : table.rows) {
    if (is_in_progress(row)) {
      reports.push_back({*row.order, row.found_bad, row.bad_because, row.evidence});
    }
  }
  return reports;
}

bool apply_rollout_report(rollout_table& table, const node_id& sender,
                          const rollout_report& report) {
  const auto place = table.rows.find(report.order.pool);
  if (place == table.rows.end()) {
    return false;
  }
  rollout& row = place->second;
  if (!is_in_progress(row) || !is_same_order(report.order, *row.order)) {
    return false;
  }
  if (row.peers.size() < peers_limit || row.peers.contains(sender)) {
    evidence_counts& known = row.peers[sender];
    add_counts(row.peers_total, counts_since_report(report.evidence, known));
    known = report.evidence;
  }
  if (!report.found_bad || row.found_bad) {
    return false;
  }
  row.found_bad = true;
  row.bad_because = report.reason;
  return true;
}

}  // namespace chestnuthead::gateway
