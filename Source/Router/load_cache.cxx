#include "Router/load_cache.h"

#include <algorithm>

namespace chestnuthead::routing {

namespace {

const cached_load* find_fresh(const load_cache& cache, const node_id& agent, steady_time now) {
  const auto found = cache.agents.find(agent);
  if (found == cache.agents.end() || now - found->second.received_at > load_report_lifetime) {
    return nullptr;
  }
  return &found->second;
}

}  // namespace

void store_load(load_cache& cache, const node_id& agent, const load_report& load, steady_time now) {
  cache.agents[agent] = {now, load.in_flight, load.limit,
                         0,   load.leaving,   load.configuration_version};
}

void count_sent(load_cache& cache, const node_id& agent) {
  const auto found = cache.agents.find(agent);
  if (found != cache.agents.end()) {
    ++found->second.sent_since;
  }
}

double reported_utilisation(const load_cache& cache, const node_id& agent, steady_time now) {
  const cached_load* load = find_fresh(cache, agent, now);
  if (load == nullptr) {
    return 0.0;
  }
  const double work = load->in_flight + load->sent_since;
  return work / std::max(1U, load->limit);
}

bool has_reported_capacity(const load_cache& cache, const node_id& agent, steady_time now) {
  const cached_load* load = find_fresh(cache, agent, now);
  return load != nullptr && load->in_flight + load->sent_since < load->limit;
}

bool reported_leaving(const load_cache& cache, const node_id& agent, steady_time now) {
  const cached_load* load = find_fresh(cache, agent, now);
  return load != nullptr && load->leaving;
}

void drop_outdated_leaving(load_cache& cache, std::uint64_t configuration_version) {
  std::erase_if(cache.agents, [configuration_version](const auto& entry) {
    return entry.second.leaving && entry.second.configuration_version < configuration_version;
  });
}

void expire_loads(load_cache& cache, steady_time now) {
  std::erase_if(cache.agents, [now](const auto& entry) {
    return now - entry.second.received_at > load_report_lifetime;
  });
}

}  // namespace chestnuthead::routing
