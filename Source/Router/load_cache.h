#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"
#include "chestnuthead/request.h"

/// Caches the load that each agent reported last. Soft state: it guides the
/// choice of an agent, but the agents themselves decide on admission.
namespace chestnuthead::routing {

/// Age above which a report is ignored.
inline constexpr std::chrono::milliseconds load_report_lifetime{5'000};

struct cached_load {
  steady_time received_at{};
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  /// Attempts sent to the agent since the report.
  std::uint32_t sent_since = 0;
  bool leaving = false;
  /// Configuration version that was in force on the agent when it reported.
  std::uint64_t configuration_version = 0;
};

struct load_cache {
  std::map<node_id, cached_load> agents;
};

void store_load(load_cache& cache, const node_id& agent, const load_report& load, steady_time now);

/// Counts an attempt that the cached report does not include yet.
void count_sent(load_cache& cache, const node_id& agent);

/// Load of the agent as a share of its limit. Returns 0 without a fresh report,
/// so that such an agent gets an attempt and reports its load.
double reported_utilisation(const load_cache& cache, const node_id& agent, steady_time now);

/// True if a fresh report shows capacity for one more attempt.
bool has_reported_capacity(const load_cache& cache, const node_id& agent, steady_time now);

/// True if a fresh report shows that the agent is leaving.
bool reported_leaving(const load_cache& cache, const node_id& agent, steady_time now);

/// Removes the reports that exceed `load_report_lifetime`.
void expire_loads(load_cache& cache, steady_time now);

/// Removes reports of leaving agents that were made under an older
/// configuration, since that configuration may be the one that took them out.
void drop_outdated_leaving(load_cache& cache, std::uint64_t configuration_version);

}  // namespace chestnuthead::routing
