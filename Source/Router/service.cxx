#include "Router/service.h"

#include "Router/invariants.h"

namespace chestnuthead::routing {

namespace {

bool should_be_ready(const router_state& state) {
  if (state.service.stop_begun) {
    return false;
  }
  return configuration_confirmed(*state.plane) && state.placement.endpoints_known > 0;
}

bool may_stop(const router_state& state, steady_time now) {
  const auto& begun = state.service.stop_begun;
  const bool draining = begun && !state.service.stopped;
  return draining && now - *begun >= drain_grace && state.requests.requests.empty();
}

}  // namespace

bool refuses_new_work(const router_state& state, steady_time now) {
  const auto& begun = state.service.stop_begun;
  if (!begun) {
    return false;
  }
  return !state.switches.serve_while_draining || now - *begun >= drain_grace;
}

void begin_stop(router_state& state, steady_time now, router_actions& actions) {
  if (state.service.stop_begun) {
    return;
  }
  state.service.stop_begun = now;
  state.service.ready = false;
  actions.emplace_back(router_set_ready{false});
  start_rumor(*state.plane, rumor_kind::node_leaving, state.settings.self.value, "", now);
}

void update_service(router_state& state, steady_time now, router_actions& actions) {
  if (listed_as_leaving(*state.plane)) {
    begin_stop(state, now, actions);
  }
  const bool ready = should_be_ready(state);
  if (ready != state.service.ready) {
    state.service.ready = ready;
    actions.emplace_back(router_set_ready{ready});
  }
  if (may_stop(state, now)) {
    state.service.stopped = true;
    actions.emplace_back(router_stop_now{});
  }
}

}  // namespace chestnuthead::routing
