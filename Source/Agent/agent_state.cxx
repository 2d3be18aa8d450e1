#include "Agent/agent_state.h"

#include "Agent/admission.h"

namespace chestnuthead {

namespace {

vm_entry own_entry(const agent_settings& settings) {
  vm_entry self;
  self.node = settings.self;
  self.role = vm_role::agent;
  self.pool = settings.pool;
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  self.address = settings.address;
  return self;
}

}  // namespace

void agent_state_deleter::operator()(agent_state* state) const {
  delete state;
}

agent_state_ptr make_agent_state(const agent_settings& settings, random_source& random) {
  agent_state_ptr state(new agent_state);
  state->settings = settings;
  state->control = make_control_plane(own_entry(settings), random);
  state->ledger = make_ledger(settings.self);
  restart_cold(state->warm, own_pool(*state));
  return state;
}

const pool_configuration& own_pool(const agent_state& state) {
  static const pool_configuration defaults;
  const pool_configuration* pool = find_pool(configuration_of(state), state.settings.pool);
  return pool == nullptr ? defaults : *pool;
}

std::uint32_t in_flight(const agent_state& state) {
  return static_cast<std::uint32_t>(state.attempts.rows.size());
}

agent_summary summarise(const agent_state& state) {
  agent_summary summary;
  summary.configuration_version = configuration_of(state).version;
  summary.in_flight = in_flight(state);
  summary.limit = load_limit(state);
  summary.pool_mean = adjusted_mean(state.pool, in_flight(state)).value_or(0.0);
  summary.resident_chats = static_cast<std::uint32_t>(state.resident.chats.size());
  summary.ready = state.reported_ready;
  summary.stopping = state.stopping;
  summary.invariants_broken = state.invariants_broken;
  return summary;
}

const configuration_document& configuration_of(const agent_state& state) {
  return current_configuration(*state.control);
}

}  // namespace chestnuthead
