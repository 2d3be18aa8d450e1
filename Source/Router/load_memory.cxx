#include "Router/load_memory.h"

#include <algorithm>

namespace chestnuthead::routing {

namespace {

const remembered_load* find_fresh(const load_memory& memory, const node_id& agent,
                                  steady_time now) {
  const auto found = memory.agents.find(agent);
  if (found == memory.agents.end() || now - found->second.heard_at > load_memory_age) {
    return nullptr;
  }
  return &found->second;
}

}  // namespace

void remember_load(load_memory& memory, const node_id& agent, const load_report& load,
                   steady_time now) {
  memory.agents[agent] = {now, load.in_flight, load.limit,
                          0,   load.leaving,   load.configuration_version};
}

void count_sent(load_memory& memory, const node_id& agent) {
  const auto found = memory.agents.find(agent);
  if (found != memory.agents.end()) {
    ++found->second.sent_since;
  }
}

double known_load(const load_memory& memory, const node_id& agent, steady_time now) {
  const remembered_load* load = find_fresh(memory, agent, now);
  if (load == nullptr) {
    return 0.0;
  }
  const double work = load->in_flight + load->sent_since;
  return work / std::max(1U, load->limit);
}

bool has_known_room(const load_memory& memory, const node_id& agent, steady_time now) {
  const remembered_load* load = find_fresh(memory, agent, now);
  return load != nullptr && load->in_flight + load->sent_since < load->limit;
}

bool said_leaving(const load_memory& memory, const node_id& agent, steady_time now) {
  const remembered_load* load = find_fresh(memory, agent, now);
  return load != nullptr && load->leaving;
}

void forget_outdated_leaving(load_memory& memory, std::uint64_t configuration_version) {
  std::erase_if(memory.agents, [configuration_version](const auto& entry) {
    return entry.second.leaving && entry.second.configuration_version < configuration_version;
  });
}

void forget_old_loads(load_memory& memory, steady_time now) {
  std::erase_if(memory.agents,
                [now](const auto& entry) { return now - entry.second.heard_at > load_memory_age; });
}

}  // namespace chestnuthead::routing
