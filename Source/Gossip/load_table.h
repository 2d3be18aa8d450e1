#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/gossip.h"
#include "chestnuthead/ids.h"

/// Loads of the endpoints of one pool, as received by gossip.
namespace chestnuthead {

/// Entries older than this are ignored.
inline constexpr std::chrono::milliseconds load_age_limit{5'000};
/// Added to an entry's age at each hop for the time on the link, so that the last
/// load of an endpoint that is gone expires even while peers keep forwarding it.
inline constexpr std::chrono::milliseconds load_hop_age{50};
/// Maximum number of entries per message.
inline constexpr std::size_t loads_per_message = 32;
/// Maximum number of endpoints in the table.
inline constexpr std::size_t load_limit = 1'024;

struct known_load {
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  /// When the endpoint's agent measured it, by this node's clock.
  steady_time measured_at{};
};

struct load_table {
  std::map<endpoint_id, known_load> loads;
};

/// Stores an entry unless it has expired, is not newer than the stored one, or the
/// table is full.
void merge_load(load_table& table, const load_entry& entry, steady_time now);

/// Chooses entries for a peer, the most recent first: this always includes the
/// node's own load, and loads spread faster than with a random choice.
std::vector<load_entry> choose_loads(const load_table& table, steady_time now);

/// Mean load of `endpoints`; empty unless at least half of them have an entry that
/// has not expired.
std::optional<double> mean_load(const load_table& table, const std::vector<endpoint_id>& endpoints,
                                steady_time now);

void expire_loads(load_table& table, steady_time now);

}  // namespace chestnuthead
