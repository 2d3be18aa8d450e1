#include "Agent/agent_state.h"

namespace chestnuthead {

void agent_state_deleter::operator()(agent_state* state) const {
  delete state;
}

agent_state_ptr make_agent_state(const agent_settings& settings, random_source& random) {
  agent_state_ptr state(new agent_state);
  state->settings = settings;
  state->random = &random;
  return state;
}

const pool_configuration& own_pool(const agent_state& state) {
  static const pool_configuration defaults;
  for (const pool_configuration& pool : configuration_of(state).pools) {
    if (pool.name == state.settings.pool) {
      return pool;
    }
  }
  return defaults;
}

std::uint32_t in_flight(const agent_state& state) {
  return static_cast<std::uint32_t>(state.attempts.rows.size());
}

load_report report_load(const agent_state& state, const chat_id& /*chat*/, steady_time /*now*/) {
  load_report report;
  report.in_flight = in_flight(state);
  report.limit = own_pool(state).warm_limit;
  report.configuration_version = configuration_of(state).version;
  report.leaving = state.stopping;
  return report;
}

agent_summary summarise(const agent_state& state) {
  agent_summary summary;
  summary.configuration_version = configuration_of(state).version;
  summary.in_flight = in_flight(state);
  summary.limit = own_pool(state).warm_limit;
  summary.ready = state.ready_told;
  summary.stopping = state.stopping;
  summary.invariants_broken = state.invariants_broken;
  return summary;
}

const configuration_document& configuration_of(const agent_state& state) {
  return state.configuration;
}

}  // namespace chestnuthead
