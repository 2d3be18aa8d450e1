#include "Router/probes.h"

#include <algorithm>

#include "Router/choice.h"
#include "Router/dispatch.h"
#include "Router/load_memory.h"

namespace chestnuthead::routing {

namespace {

void ask(request_row& row, const pool_member& member, router_actions& actions) {
  row.probes.awaited.push_back(member.node);
  actions.emplace_back(
      send_probe{row.facts.request, member.node, member.address, row.facts.pool, row.facts.chat});
}

bool stop_awaiting(probe_round& probes, const node_id& agent) {
  return std::erase(probes.awaited, agent) > 0;
}

void weigh_answer(probe_round& probes, const node_id& agent, const load_report& load) {
  const bool can_take = !load.leaving && load.in_flight < load.limit;
  if (!can_take || load.resident_tokens == 0) {
    return;
  }
  if (!probes.best || load.resident_tokens > probes.best->resident_tokens) {
    probes.best = prefix_holder{agent, load.resident_tokens};
  }
}

const pool_member* find_holder(const router_state& state, const request_row& row, steady_time now) {
  if (!row.probes.best) {
    return nullptr;
  }
  const auto& pool = members_of(state.placement, row.facts.pool);
  const pool_member* holder = find_member(pool, row.probes.best->agent);
  // It may have been taken out since it answered.
  return holder != nullptr && takes_work(state, *holder, now) ? holder : nullptr;
}

}  // namespace

void start_probes(router_state& state, request_row& row, const node_id& asked, steady_time now,
                  router_actions& actions) {
  const std::size_t wanted = current_configuration(*state.plane).policy.prefix_probes;
  row.probes = {};
  row.probes.patience_end = now + probe_patience;
  for (const pool_member* member : best_untried(state, row, wanted + 1, now)) {
    if (member->node != asked && row.probes.awaited.size() < wanted) {
      ask(row, *member, actions);
    }
  }
  if (row.probes.awaited.empty()) {
    advance(state, row, now, actions);
    return;
  }
  row.phase = request_phase::probing;
}

void take_probe_answer(router_state& state, const probe_answered& event, steady_time now,
                       router_actions& actions) {
  remember_load(state.loads, event.agent, event.load, now);
  note_version(*state.plane, event.agent, event.load.configuration_version);
  request_row* row = find_request(state.requests, event.request);
  const bool expected = row != nullptr && row->phase == request_phase::probing &&
                        stop_awaiting(row->probes, event.agent);
  if (!expected) {
    ++state.requests.events_dropped;
    return;
  }
  weigh_answer(row->probes, event.agent, event.load);
  if (row->probes.awaited.empty()) {
    end_probes(state, *row, now, actions);
  }
}

void drop_awaited(router_state& state, const node_id& agent, steady_time now,
                  router_actions& actions) {
  std::vector<request_id> answered;
  for (auto& [request, row] : state.requests.requests) {
    const bool waiting = row.phase == request_phase::probing;
    if (waiting && stop_awaiting(row.probes, agent) && row.probes.awaited.empty()) {
      answered.push_back(request);
    }
  }
  for (const request_id& request : answered) {
    end_probes(state, state.requests.requests.at(request), now, actions);
  }
}

void end_probes(router_state& state, request_row& row, steady_time now, router_actions& actions) {
  const pool_member* holder = find_holder(state, row, now);
  row.probes = {};
  if (holder == nullptr || row.deadline - now < std::chrono::milliseconds{1}) {
    advance(state, row, now, actions);
    return;
  }
  send_to(state, row, *holder, false, now, actions);
}

}  // namespace chestnuthead::routing
