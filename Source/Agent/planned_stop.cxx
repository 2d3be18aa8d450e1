#include "Agent/planned_stop.h"

#include "Agent/admission.h"
#include "Agent/attempt_answers.h"

namespace chestnuthead {

namespace {

bool has_work(const agent_state& state) {
  return !state.attempts.rows.empty() || unsettled(*state.ledger) > 0;
}

// The VM list lags, so a new agent announces itself.
void announce_once(agent_state& state, steady_time now) {
  if (state.reported_ready && !state.announced) {
    state.announced = true;
    start_rumor(*state.control, rumor_kind::node_serving, state.settings.self.value, "", now);
  }
}

}  // namespace

void begin_stop(agent_state& state, steady_time now) {
  if (state.stopping) {
    return;
  }
  start_rumor(*state.control, rumor_kind::node_leaving, state.settings.self.value, "", now);
  state.stopping = true;
  state.stop_begun_at = now;
  record_event(state, "stop_begun", "");
}

void report_readiness(agent_state& state, steady_time now) {
  const bool ready =
      state.endpoint_up && !is_leaving(state) && configuration_confirmed(*state.control);
  if (ready != state.reported_ready) {
    state.reported_ready = ready;
    state.actions.emplace_back(agent_set_ready{ready});
    announce_once(state, now);
  }
}

void finish_stop(agent_state& state, steady_time now) {
  if (!state.stopping || state.stop_reported || now - state.stop_begun_at < leaving_notice) {
    return;
  }
  if (state.switches.drain_before_stop && has_work(state)) {
    return;
  }
  if (has_work(state)) {
    state.actions.emplace_back(agent_invariant_broken{"stopped_with_work", ""});
  }
  state.stop_reported = true;
  record_event(state, "stop_done", "");
  state.actions.emplace_back(agent_stop_now{});
}

}  // namespace chestnuthead
