#include "Gateway/placement.h"

#include <algorithm>
#include <cmath>

#include "Base/hashing.h"
#include "Gateway/endpoint_health.h"

namespace chestnuthead::gateway {

namespace {

/// Load at which an endpoint counts as full, as a multiple of its slots: the rest
/// waits in its own queue. Loads are known with a delay, and an endpoint that is
/// full indeed vouches that it executes nothing.
constexpr double waiting_allowance = 4.0;

bool may_choose(const endpoint& row, const std::vector<endpoint_id>& tried, const fleet_view& fleet,
                steady_time now) {
  return in_service(row, fleet, now) &&
         std::find(tried.begin(), tried.end(), row.listing.name) == tried.end();
}

/// Requests that the endpoint holds before it refuses more.
double full_load(const endpoint& row) {
  return row.listing.slots == 0 ? 1e9 : waiting_allowance * row.listing.slots;
}

bool cold_and_spent(const endpoint& row, const pool& pool, steady_time now) {
  return pool.cold_rate > 0.0 && is_cold(row, now) && now < row.next_cold_request;
}

std::vector<endpoint*> with_room(const std::vector<endpoint*>& endpoints, const pool& pool,
                                 steady_time now) {
  std::vector<endpoint*> open;
  for (endpoint* row : endpoints) {
    if (load_of(*row) < full_load(*row) && !cold_and_spent(*row, pool, now)) {
      open.push_back(row);
    }
  }
  return open;
}

/// Mean over all endpoints that the platform lists: those that are out of
/// service lower what the others may hold.
double mean_load(const std::vector<endpoint*>& endpoints) {
  double total = 0.0;
  double listed = 0.0;
  for (const endpoint* row : endpoints) {
    total += load_of(*row);
    listed += row->listed ? 1.0 : 0.0;
  }
  return listed > 0.0 ? total / listed : 0.0;
}

endpoint* least_loaded(const std::vector<endpoint*>& endpoints) {
  return *std::min_element(
      endpoints.begin(), endpoints.end(),
      [](const endpoint* one, const endpoint* other) { return load_of(*one) < load_of(*other); });
}

/// The first endpoint in rendezvous order whose load is within the bound.
endpoint* first_within_bound(const std::vector<endpoint*>& open, std::uint64_t affinity,
                             double bound) {
  endpoint* best = nullptr;
  std::uint64_t best_weight = 0;
  for (endpoint* row : open) {
    const std::uint64_t weight = rendezvous_weight(affinity, row->hash);
    if (load_of(*row) + 1.0 <= bound && (best == nullptr || weight > best_weight)) {
      best = row;
      best_weight = weight;
    }
  }
  return best;
}

bool holds(const endpoint& row, const std::vector<std::uint64_t>& holders) {
  return std::find(holders.begin(), holders.end(), row.hash) != holders.end();
}

/// The least loaded holder of the prefix within the bound, or nullptr.
endpoint* least_loaded_holder(const std::vector<endpoint*>& open,
                              const std::vector<std::uint64_t>& holders, double bound) {
  endpoint* best = nullptr;
  for (endpoint* row : open) {
    const bool fits = holds(*row, holders) && load_of(*row) + 1.0 <= bound;
    if (fits && (best == nullptr || load_of(*row) < load_of(*best))) {
      best = row;
    }
  }
  return best;
}

/// Load that all endpoints would reach if `arrivals` more requests filled up those
/// below it.
double level_after(std::vector<double> loads, double arrivals) {
  std::sort(loads.begin(), loads.end());
  double sum = 0.0;
  double level = 0.0;
  for (std::size_t filled = 1; filled <= loads.size(); ++filled) {
    sum += loads[filled - 1];
    level = (sum + arrivals) / static_cast<double>(filled);
    if (filled == loads.size() || level <= loads[filled]) {
      break;
    }
  }
  return level;
}

/// Draws an endpoint in proportion to what it lacks to the level that all reach with
/// the requests that arrive until the next news. With fresh news that is the least
/// loaded one; with old news nearly any, as all gateways would send to the same one
/// until they hear of it.
endpoint* draw_levelled(const std::vector<endpoint*>& open, double arrivals,
                        random_source& random) {
  std::vector<double> loads;
  loads.reserve(open.size());
  for (const endpoint* row : open) {
    loads.push_back(load_of(*row));
  }
  const double expected = std::max(arrivals, 1.0);
  const double level = level_after(loads, expected);
  double left = next_unit(random) * expected;
  for (std::size_t place = 0; place < open.size(); ++place) {
    left -= std::max(0.0, level - loads[place]);
    if (left < 0.0) {
      return open[place];
    }
  }
  return least_loaded(open);
}

}  // namespace

std::string_view name_of(choice_reason reason) {
  switch (reason) {
    case choice_reason::holds_prefix:
      return "holds_prefix";
    case choice_reason::home_of_prefix:
      return "home_of_prefix";
    case choice_reason::levelled:
      return "levelled";
    case choice_reason::least_loaded:
      break;
  }
  return "least_loaded";
}

std::uint64_t affinity_of(const caller_request& request) {
  const std::size_t shared = request.prompt.size() > 1 ? request.prompt.size() - 1 : 1;
  std::uint64_t hash = 0;
  for (std::size_t place = 0; place < shared && place < request.prompt.size(); ++place) {
    hash = rendezvous_weight(hash, request.prompt[place].id);
  }
  return hash;
}

bool in_service(const endpoint& row, const fleet_view& fleet, steady_time now) {
  return row.listed && !row.listing.leaving && !row.misplaced && !is_set_aside(row, now) &&
         !fleet.domains_out.contains(row.listing.failure_domain);
}

placement_choice choose_endpoint(const std::vector<endpoint*>& endpoints, const pool& pool,
                                 const caller_request& request, const placement_hints& hints,
                                 const fleet_view& fleet, random_source& random, steady_time now) {
  std::vector<endpoint*> candidates;
  for (endpoint* row : endpoints) {
    if (may_choose(*row, hints.tried, fleet, now)) {
      candidates.push_back(row);
    }
  }
  if (candidates.empty()) {
    return no_choice::none_in_service;
  }
  const std::vector<endpoint*> open = with_room(candidates, pool, now);
  if (open.empty()) {
    return no_choice::all_full;
  }
  if (request.prompt.empty()) {
    return placement{draw_levelled(open, hints.expected_meanwhile, random), choice_reason::levelled,
                     0.0};
  }
  const double bound = fleet.load_multiple * mean_load(endpoints) + load_allowance;
  if (endpoint* holder = least_loaded_holder(open, hints.holders, bound)) {
    return placement{holder, choice_reason::holds_prefix, bound};
  }
  if (endpoint* home = first_within_bound(open, affinity_of(request), bound)) {
    return placement{home, choice_reason::home_of_prefix, bound};
  }
  return placement{least_loaded(open), choice_reason::least_loaded, bound};
}

const endpoint* prefix_source(const std::vector<endpoint*>& endpoints, const endpoint& chosen,
                              const placement_hints& hints, steady_time now) {
  if (holds(chosen, hints.holders)) {
    return nullptr;
  }
  // The holder used last is the likeliest to hold the prefix still. One that is
  // leaving serves until it is gone.
  for (const std::uint64_t holder : hints.holders) {
    for (const endpoint* row : endpoints) {
      if (row->hash == holder && row->listed && !row->misplaced && !is_set_aside(*row, now)) {
        return row;
      }
    }
  }
  return nullptr;
}

std::chrono::milliseconds cold_interval(const pool& pool, const fleet_view& fleet) {
  if (pool.cold_rate <= 0.0) {
    return std::chrono::milliseconds{0};
  }
  const double seconds = static_cast<double>(fleet.gateways) / pool.cold_rate;
  return std::chrono::milliseconds{static_cast<std::int64_t>(std::ceil(seconds * 1'000.0))};
}

void begin_request(endpoint& row, const pool& pool, const fleet_view& fleet, steady_time now) {
  ++row.in_flight;
  if (is_cold(row, now)) {
    row.next_cold_request = now + cold_interval(pool, fleet);
  }
}

void end_request(endpoint& row) {
  row.in_flight -= std::min<std::uint32_t>(row.in_flight, 1);
}

}  // namespace chestnuthead::gateway
