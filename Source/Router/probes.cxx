#include "Router/probes.h"

#include <algorithm>

#include "Router/choice.h"
#include "Router/dispatch.h"
#include "Router/load_cache.h"

namespace chestnuthead::routing {

namespace {

void send_probe_to(request_row& row, const pool_member& member, router_actions& actions) {
  row.probes.probed_agents.push_back(member.node);
  actions.emplace_back(
      send_probe{row.facts.request, member.node, member.address, row.facts.pool, row.facts.chat});
}

void begin_round(request_row& row, probe_purpose purpose, steady_time now) {
  row.phase = request_phase::probing;
  row.probes = {};
  row.probes.purpose = purpose;
  row.probes.timeout_at = now + probe_timeout;
}

bool was_probed(const probe_round& probes, const node_id& agent) {
  return std::find(probes.probed_agents.begin(), probes.probed_agents.end(), agent) !=
         probes.probed_agents.end();
}

const load_report* find_result(const probe_round& probes, const node_id& agent) {
  const auto found =
      std::find_if(probes.results.begin(), probes.results.end(),
                   [&agent](const probe_result& each) { return each.agent == agent; });
  return found == probes.results.end() ? nullptr : &found->load;
}

bool all_answered(const probe_round& probes) {
  return probes.results.size() == probes.probed_agents.size();
}

double share_of_limit(const load_report& load) {
  return static_cast<double>(load.in_flight) / std::max(1U, load.limit);
}

// True if `load` is preferable to the best answer so far.
bool is_better(probe_purpose purpose, const load_report& load, const load_report* best) {
  if (purpose == probe_purpose::compare_loads) {
    return best == nullptr || share_of_limit(load) < share_of_limit(*best);
  }
  const bool has_room = load.in_flight < load.limit;
  const std::uint32_t held = best == nullptr ? 0 : best->resident_tokens;
  return has_room && load.resident_tokens > held;
}

// Among equal answers the agent that ranks higher in the preference order wins,
// independent of the order of arrival.
const pool_member* best_of(const router_state& state, const request_row& row, steady_time now) {
  const auto& pool = members_of(state.placement, row.facts.pool);
  const pool_member* best = nullptr;
  const load_report* best_load = nullptr;
  for (const node_id& agent : row.probes.probed_agents) {
    const load_report* load = find_result(row.probes, agent);
    // The agent may have been taken out of service since it answered.
    const pool_member* member = find_member(pool, agent);
    if (load == nullptr || member == nullptr || !accepts_new_work(state, *member, now)) {
      continue;
    }
    if (is_better(row.probes.purpose, *load, best_load)) {
      best = member;
      best_load = load;
    }
  }
  return best;
}

}  // namespace

void probe_for_holder(router_state& state, request_row& row, const node_id& excluded,
                      steady_time now, router_actions& actions) {
  const std::size_t wanted = current_configuration(*state.plane).policy.prefix_probes;
  begin_round(row, probe_purpose::find_holder, now);
  for (const pool_member* member : best_untried(state, row, wanted + 1, now)) {
    if (member->node != excluded && row.probes.probed_agents.size() < wanted) {
      send_probe_to(row, *member, actions);
    }
  }
  if (row.probes.probed_agents.empty()) {
    advance(state, row, now, actions);
  }
}

bool compare_loads(router_state& state, request_row& row, steady_time now,
                   router_actions& actions) {
  const bool has_chat = !row.facts.chat.empty();
  const std::uint32_t count =
      has_chat ? state.tuning.new_chat_choices : state.tuning.no_chat_choices;
  const auto choices = best_untried(state, row, count, now);
  if (choices.size() < 2) {
    return false;
  }
  begin_round(row, probe_purpose::compare_loads, now);
  for (const pool_member* member : choices) {
    send_probe_to(row, *member, actions);
  }
  return true;
}

void handle_probe_answer(router_state& state, const probe_answered& event, steady_time now,
                         router_actions& actions) {
  store_load(state.loads, event.agent, event.load, now);
  note_peer_version(*state.plane, event.agent, event.load.configuration_version);
  request_row* row = find_request(state.requests, event.request);
  const bool expected = row != nullptr && row->phase == request_phase::probing &&
                        was_probed(row->probes, event.agent) &&
                        find_result(row->probes, event.agent) == nullptr;
  if (!expected) {
    ++state.requests.events_dropped;
    return;
  }
  row->probes.results.push_back({event.agent, event.load});
  if (all_answered(row->probes)) {
    end_probes(state, *row, now, actions);
  }
}

void drop_awaited_probes(router_state& state, const node_id& agent, steady_time now,
                         router_actions& actions) {
  std::vector<request_id> answered;
  for (auto& [request, row] : state.requests.requests) {
    const bool waiting =
        row.phase == request_phase::probing && find_result(row.probes, agent) == nullptr;
    if (waiting && std::erase(row.probes.probed_agents, agent) > 0 && all_answered(row.probes)) {
      answered.push_back(request);
    }
  }
  for (const request_id& request : answered) {
    end_probes(state, state.requests.requests.at(request), now, actions);
  }
}

void end_probes(router_state& state, request_row& row, steady_time now, router_actions& actions) {
  const pool_member* found = best_of(state, row, now);
  row.probes = {};
  if (found == nullptr || row.deadline - now < std::chrono::milliseconds{1}) {
    advance(state, row, now, actions);
    return;
  }
  send_to(state, row, *found, false, now, actions);
}

}  // namespace chestnuthead::routing
