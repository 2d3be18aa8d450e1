#include "chestnuthead/router_core.h"

#include "Router/arrivals.h"
#include "Router/attempts.h"
#include "Router/expiry.h"
#include "Router/invariants.h"
#include "Router/probes.h"
#include "Router/router_state.h"
#include "Router/seals.h"
#include "Router/service.h"

namespace chestnuthead {

namespace {

using routing::router_actions;

void apply_output(router_state& state, control_output output, router_actions& actions) {
  for (const broken_invariant& broken : output.broken) {
    routing::report_broken(state, broken.name, broken.detail, actions);
  }
  for (outgoing_gossip& message : output.messages) {
    actions.emplace_back(
        router_send_gossip{message.to, std::move(message.address), std::move(message.message)});
  }
  for (table_call& ask : output.table_calls) {
    actions.emplace_back(router_submit_table{ask.ticket, std::move(ask.request)});
  }
  if (output.read_vm_list) {
    actions.emplace_back(router_read_vm_list{});
  }
}

/// Dispatches each kind of event to its module.
struct event_handler {
  router_state& state;
  steady_time now;
  router_actions& actions;

  void operator()(const request_arrived& event) const {
    routing::handle_request_arrived(this->state, event, this->now, this->actions);
  }
  void operator()(const caller_left& event) const {
    routing::handle_caller_left(this->state, event, this->actions);
  }
  void operator()(const attempt_accepted& event) const {
    routing::handle_accepted(this->state, event, this->now);
  }
  void operator()(const attempt_refused& event) const {
    routing::handle_refused(this->state, event, this->now, this->actions);
  }
  void operator()(const attempt_ended& event) const {
    routing::handle_ended(this->state, event, this->now, this->actions);
  }
  void operator()(const probe_answered& event) const {
    routing::handle_probe_answer(this->state, event, this->now, this->actions);
  }
  void operator()(const router_table_replied& event) const {
    if ((event.ticket & control_ticket_bit) != 0) {
      apply_output(this->state,
                   handle_table_reply(*this->state.plane, event.ticket, event.reply, this->now),
                   this->actions);
      return;
    }
    routing::handle_seal_reply(this->state, event.ticket, event.reply, this->now, this->actions);
  }
  void operator()(const router_vm_list_replied& event) const {
    apply_output(this->state, handle_vm_list(*this->state.plane, event.reply, this->now),
                 this->actions);
  }
  void operator()(const router_gossip_received& event) const {
    apply_output(this->state, handle_gossip(*this->state.plane, event.message, this->now),
                 this->actions);
  }
  void operator()(const router_link_lost& event) const {
    note_link_failed(*this->state.plane, event.node, this->now);
    routing::drop_awaited_probes(this->state, event.node, this->now, this->actions);
  }
  void operator()(const router_stop_requested& /*event*/) const {
    routing::begin_stop(this->state, this->now, this->actions);
  }
  void operator()(const router_tick& /*event*/) const {
    apply_output(this->state, control_tick(*this->state.plane, this->now), this->actions);
    routing::refresh(this->state.placement, *this->state.plane);
    routing::tick_seals(this->state, this->now, this->actions);
    routing::tick_requests(this->state, this->now, this->actions);
    routing::expire_loads(this->state.loads, this->now);
    routing::check_requests(this->state, this->now, this->actions);
  }
};

}  // namespace

std::vector<router_action> step(router_state& state, const router_event& event, steady_time now) {
  router_actions actions;
  routing::refresh(state.placement, *state.plane);
  std::visit(event_handler{state, now, actions}, event);
  routing::refresh(state.placement, *state.plane);
  routing::drop_outdated_leaving(state.loads, configuration_of(state).version);
  routing::update_service(state, now, actions);
  return actions;
}

}  // namespace chestnuthead
