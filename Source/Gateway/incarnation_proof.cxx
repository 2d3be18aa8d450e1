#include "Gateway/incarnation_proof.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "Gateway/cold_pacing.h"
#include "Gateway/endpoint_reports.h"

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;

bool is_used(const gateway_state& state, const pool_id& pool, steady_time now) {
  const auto budget = state.resend_budgets.find(pool);
  return budget != state.resend_budgets.end() &&
         request_rate(budget->second, state.resends, now) > 0.0;
}

bool may_check(const endpoint& row, steady_time now) {
  return row.listed && !is_leaving(row, now) && !is_paused(row, now) && !row.record.needs_check;
}

}  // namespace

std::string_view name_of(incarnation_doubt doubt) {
  switch (doubt) {
    case incarnation_doubt::none:
      return "none";
    case incarnation_doubt::may_have_restarted:
      return "may_have_restarted";
    case incarnation_doubt::may_have_left:
      break;
  }
  return "may_have_left";
}

void doubt_incarnation(endpoint& row, incarnation_doubt doubt, steady_time now) {
  // An endpoint that may have left remains so until a proof.
  row.proof.doubt = std::max(row.proof.doubt, doubt);
  row.proof.doubted_at = now;
  row.proof.check_at.reset();
}

void prove_incarnation(endpoint& row) {
  const std::optional<steady_time> checked_at = row.proof.checked_at;
  row.proof = {};
  row.proof.checked_at = checked_at;
}

bool lacks_proof(const endpoint& row, const pool& pool) {
  return row.proof.doubt == incarnation_doubt::may_have_left ||
         (row.proof.doubt == incarnation_doubt::may_have_restarted && pool.cold_rate > 0.0);
}

void schedule_proof_checks(gateway_state& state, steady_time now) {
  if (state.services == nullptr || !state.peers_known) {
    return;
  }
  std::optional<fleet_members> members;
  for (auto& [name, row] : state.endpoints.rows) {
    const pool* found = row.proof.doubt == incarnation_doubt::none || row.proof.check_at
                            ? nullptr
                            : find_pool(*state.services, row.listing.pool);
    if (found == nullptr || !lacks_proof(row, *found) || !is_used(state, found->name, now)) {
      continue;
    }
    if (!members) {
      members = members_of(state);
    }
    const std::uint32_t turn = rank_for(row, *members) / proof_checks_per_second;
    row.proof.check_at = now + std::chrono::seconds{turn};
  }
}

bool proof_check_due(const endpoint& row, steady_time now) {
  return row.proof.check_at && now >= *row.proof.check_at && may_check(row, now);
}

bool expects_proof(const gateway_state& state, const pool& pool, steady_time now) {
  const std::vector<endpoint*>& rows = endpoints_of(state.endpoints, pool.name);
  return std::any_of(rows.begin(), rows.end(), [&](const endpoint* row) {
    return lacks_proof(*row, pool) && may_check(*row, now) &&
           (!row->proof.check_at || *row->proof.check_at < now + longest_proof_wait);
  });
}

std::vector<check_report> check_reports(const endpoint_table& table, steady_time now) {
  std::vector<check_report> reports;
  for (const auto& [name, row] : table.rows) {
    if (row.listed && row.proof.checked_at && now - *row.proof.checked_at < check_report_time) {
      reports.push_back(
          {row.hash, std::chrono::duration_cast<milliseconds>(now - *row.proof.checked_at),
           std::chrono::duration_cast<milliseconds>(std::max(row.cold_until, now) - now)});
    }
  }
  return reports;
}

void apply_check_report(endpoint_table& table, const check_report& report, steady_time now) {
  const auto place = table.by_hash.find(report.endpoint);
  if (place == table.by_hash.end()) {
    return;
  }
  endpoint& row = *place->second;
  row.cold_until = std::max(row.cold_until, now + report.cold_for);
  if (now - report.age >= row.proof.doubted_at) {
    prove_incarnation(row);
  }
}

bool can_vouch_for(const endpoint& row, steady_time now) {
  return row.proof.doubt == incarnation_doubt::none && !is_cold(row, now) && row.contact_since &&
         now - *row.contact_since >= vouching_contact;
}

bool note_running(gateway_state& state, steady_time now) {
  const steady_time::duration elapsed = now - state.ran_at;
  const bool was_interrupted = state.ran_at != steady_time{} && elapsed >= max_interruption;
  state.ran_at = now;
  if (was_interrupted) {
    extend_retention(state.endpoints, elapsed, now);
    for (auto& [name, row] : state.endpoints.rows) {
      doubt_incarnation(row, incarnation_doubt::may_have_restarted, now);
    }
  }
  return was_interrupted;
}

}  // namespace chestnuthead::gateway
