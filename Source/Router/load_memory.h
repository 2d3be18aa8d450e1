#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"
#include "chestnuthead/request.h"

/// What agents last said of their load. Soft state: it guides choices, and the
/// agents decide.
namespace chestnuthead::routing {

/// Age at which a report says nothing any more.
inline constexpr std::chrono::milliseconds load_memory_age{5'000};

struct remembered_load {
  steady_time heard_at{};
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  /// Attempts sent there since the report.
  std::uint32_t sent_since = 0;
  bool leaving = false;
  /// The configuration that the agent held when it reported.
  std::uint64_t configuration_version = 0;
};

struct load_memory {
  std::map<node_id, remembered_load> agents;
};

/// Keeps a report of `agent`.
void remember_load(load_memory& memory, const node_id& agent, const load_report& load,
                   steady_time now);

/// Counts an attempt that the next report will contain.
void count_sent(load_memory& memory, const node_id& agent);

/// Share of its limit that the agent is known to bear; 0 if nothing fresh is
/// known, so that it is found out.
double known_load(const load_memory& memory, const node_id& agent, steady_time now);

/// True if a fresh report exists and shows room for one more.
bool has_known_room(const load_memory& memory, const node_id& agent, steady_time now);

/// True if the agent said a short while ago that it is leaving.
bool said_leaving(const load_memory& memory, const node_id& agent, steady_time now);

/// Removes reports that are too old to guide a choice.
void forget_old_loads(load_memory& memory, steady_time now);

/// Removes the word of agents that were leaving under an older configuration:
/// it may have been the configuration that took them out.
void forget_outdated_leaving(load_memory& memory, std::uint64_t configuration_version);

}  // namespace chestnuthead::routing
