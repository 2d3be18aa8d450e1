#include "chestnuthead/router_core.h"

#include "Router/router_state.h"

namespace chestnuthead {

namespace {

vm_entry own_entry(const router_settings& settings) {
  vm_entry entry;
  entry.node = settings.self;
  entry.role = vm_role::router;
  entry.failure_domain = settings.failure_domain;
  entry.region = settings.region;
  return entry;
}

}  // namespace

void router_state_deleter::operator()(router_state* state) const {
  delete state;
}

router_state_ptr make_router_state(const router_settings& settings, random_source& random) {
  router_state_ptr state{new router_state};
  state->settings = settings;
  state->random = &random;
  state->run_number = random.next();
  state->plane = make_control_plane(own_entry(settings), random);
  state->key_sealer = make_sealer();
  return state;
}

router_summary summarise(const router_state& state) {
  router_summary summary;
  summary.configuration_version = current_configuration(*state.plane).version;
  summary.requests_in_flight = static_cast<std::uint32_t>(state.requests.requests.size());
  summary.endpoints_known = state.placement.endpoints_known;
  summary.endpoints_in_service = state.placement.endpoints_in_service;
  summary.ready = state.service.ready;
  summary.stopping = state.service.stop_begun.has_value();
  summary.invariants_broken = state.invariants_broken;
  return summary;
}

const configuration_document& configuration_of(const router_state& state) {
  return current_configuration(*state.plane);
}

}  // namespace chestnuthead
