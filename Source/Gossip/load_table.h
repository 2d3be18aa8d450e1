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

/// Loads of the endpoints of one pool as peers passed them on.
namespace chestnuthead {

/// An entry older than this counts for nothing.
inline constexpr std::chrono::milliseconds load_age_limit{5'000};
/// Added to an entry's age at each hop for the time on the link, so that the
/// load of an endpoint that is gone does not stay young from hop to hop.
inline constexpr std::chrono::milliseconds load_hop_age{50};
/// Entries in one message at most.
inline constexpr std::size_t loads_per_message = 32;
/// Endpoints kept at most.
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

/// Takes in an entry unless a newer one is known or it is too old.
void merge_load(load_table& table, const load_entry& entry, steady_time now);

/// Chooses entries for a peer, the youngest first: the own one is always among
/// them, and news travel faster than with a choice at random.
std::vector<load_entry> choose_loads(const load_table& table, steady_time now);

/// Mean load of `endpoints`, if at least half of them are fresh.
std::optional<double> mean_load(const load_table& table, const std::vector<endpoint_id>& endpoints,
                                steady_time now);

void expire_loads(load_table& table, steady_time now);

}  // namespace chestnuthead
