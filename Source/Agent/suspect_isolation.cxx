#include "Agent/suspect_isolation.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "Agent/attempt_answers.h"

namespace chestnuthead {

namespace {

bool is_at_endpoint(const attempt_row& row) {
  return row.phase == attempt_phase::running || row.phase == attempt_phase::cancelling;
}

}  // namespace

bool refused_after_crashes(const agent_state& state, std::uint64_t fingerprint, steady_time now) {
  const std::uint32_t limit = configuration_of(state).policy.crash_limit;
  return endpoints_crashed_by(*state.control, fingerprint, now) >= limit;
}

bool is_suspect(const agent_state& state, std::uint64_t fingerprint, steady_time now) {
  return suspected_here(state.suspects, fingerprint, now) ||
         endpoints_crashed_by(*state.control, fingerprint, now) > 0;
}

bool suspect_is_running(const agent_state& state, steady_time now) {
  const auto& rows = state.attempts.rows;
  return std::any_of(rows.begin(), rows.end(), [&state, now](const auto& entry) {
    const attempt_row& row = entry.second;
    const bool about_to_run =
        row.phase == attempt_phase::claiming || row.phase == attempt_phase::granted;
    return (about_to_run || is_at_endpoint(row)) &&
           is_suspect(state, row.offer.facts.fingerprint, now);
  });
}

void suspect_running_attempts(agent_state& state, steady_time now) {
  std::set<std::uint64_t> running;
  std::set<std::uint64_t> suspected_before;
  for (const auto& [attempt, row] : state.attempts.rows) {
    const std::uint64_t fingerprint = row.offer.facts.fingerprint;
    if (!is_at_endpoint(row)) {
      continue;
    }
    running.insert(fingerprint);
    if (state.switches.isolate_suspects && is_suspect(state, fingerprint, now)) {
      suspected_before.insert(fingerprint);
    }
  }
  const std::vector<std::uint64_t> suspects = choose_suspects(running, suspected_before);
  ++state.suspects.crashes;
  add_suspects(state.suspects, suspects, now + configuration_of(state).policy.crash_memory);
  for (const std::uint64_t fingerprint : suspects) {
    start_rumor(*state.control, rumor_kind::request_crashed, std::to_string(fingerprint),
                state.settings.endpoint.value, now);
  }
  record_event(state, "endpoint_crashed", std::to_string(suspects.size()) + " requests accused");
}

}  // namespace chestnuthead
