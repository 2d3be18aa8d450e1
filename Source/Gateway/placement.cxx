#include "Gateway/placement.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "Base/hashing.h"
#include "Gateway/endpoint_health.h"
#include "Gateway/endpoint_reports.h"

namespace chestnuthead::gateway {

namespace {

/// Load at which an endpoint counts as full, as a multiple of its slots. Requests beyond the
/// slots wait in the endpoint's queue. The multiple may be high: loads are known with a
/// delay, and an endpoint that is really full rejects the request without executing it.
constexpr double waiting_allowance = 4.0;

/// The first obstacle to sending new requests to the endpoint, requested pauses aside.
endpoint_obstacle find_service_obstacle(const endpoint& row, const fleet_view& fleet,
                                        steady_time now) {
  if (!row.listed) {
    return endpoint_obstacle::not_listed;
  }
  if (is_leaving(row, now)) {
    return endpoint_obstacle::leaving;
  }
  if (row.misplaced) {
    return endpoint_obstacle::misplaced;
  }
  if (is_ejected(row, now)) {
    return endpoint_obstacle::ejected;
  }
  return fleet.domains_out.contains(row.listing.failure_domain) ? endpoint_obstacle::domain_out
                                                                : endpoint_obstacle::none;
}

/// True if new requests may be sent to the endpoint, requested pauses aside.
bool is_usable(const endpoint& row, const fleet_view& fleet, steady_time now) {
  return find_service_obstacle(row, fleet, now) == endpoint_obstacle::none;
}

bool may_choose(const endpoint& row, const placement_hints& hints, const fleet_view& fleet,
                steady_time now) {
  return in_service(row, fleet, now) && in_scope(row, hints.scope) &&
         std::find(hints.tried.begin(), hints.tried.end(), row.listing.name) == hints.tried.end();
}

constexpr double unlimited_load = 1e9;

bool cold_rate_spent(const endpoint& row, const pool& pool, steady_time now) {
  return pool.cold_rate > 0.0 && counts_as_cold(row, now) &&
         (!row.pacing.is_sender || now < row.pacing.next_at);
}

bool fits_tokens(const endpoint& row, const pool& pool, const endpoint_limit& limit) {
  return limit.capacity == nullptr ||
         fits_memory(*limit.capacity, {row.tokens_in_flight, row.peers_in_flight}, limit.tokens,
                     pool.memory_tokens);
}

endpoint_obstacle find_load_obstacle(const endpoint& row, const pool& pool,
                                     const endpoint_limit& limit, steady_time now) {
  if (load_of(row) >= full_load(row, pool, limit, now) || !fits_tokens(row, pool, limit)) {
    return endpoint_obstacle::full;
  }
  if (row.proof.doubt == incarnation_doubt::may_have_left) {
    return endpoint_obstacle::unproven;
  }
  return cold_rate_spent(row, pool, now) ? endpoint_obstacle::cold_rate_used_up
                                         : endpoint_obstacle::none;
}

bool is_open(const endpoint& row, const pool& pool, const endpoint_limit& limit, steady_time now) {
  return find_load_obstacle(row, pool, limit, now) == endpoint_obstacle::none;
}

std::vector<endpoint*> endpoints_with_room(const std::vector<endpoint*>& endpoints,
                                           const pool& pool, const endpoint_limit& limit,
                                           steady_time now) {
  std::vector<endpoint*> open;
  for (endpoint* row : endpoints) {
    if (is_open(*row, pool, limit, now)) {
      open.push_back(row);
    }
  }
  return open;
}

endpoint* least_loaded(const std::vector<endpoint*>& endpoints) {
  return *std::min_element(
      endpoints.begin(), endpoints.end(),
      [](const endpoint* one, const endpoint* other) { return load_of(*one) < load_of(*other); });
}

bool is_holder(const endpoint& row, const std::vector<std::uint64_t>& holders) {
  return std::find(holders.begin(), holders.end(), row.hash) != holders.end();
}

/// The pool's load and recent requests, and the resulting load bound.
struct pool_load {
  double load = 0.0;
  double arrivals = 0.0;
  /// Share of the load that turns over before the next load update: near 0 if updates are
  /// frequent, 1 if all present requests end before the update.
  double turnover = 0.0;
  /// Load up to which endpoints are chosen by prefix.
  double bound = 0.0;
};

/// An endpoint's load, raised towards the value predicted from its share of the pool's recent
/// requests. The correction grows with the age of the load data: without it, all gateways
/// would send to an endpoint that happened to be nearly idle at the last update.
double expected_load(const endpoint& row, const pool_load& pool, steady_time now) {
  const double known = load_of(row);
  const double part = pool.arrivals > 0.0 ? recent_arrivals(row, now) / pool.arrivals : 0.0;
  return known + pool.turnover * std::max(0.0, part * pool.load - known);
}

/// Moves endpoints from `others` to `spread`, in rendezvous order, until they provide the
/// lacking room. One is usually enough, so `others` is not sorted.
void widen_spread(std::vector<candidate>& spread, std::vector<candidate>& others,
                  std::uint64_t affinity, double lacking) {
  const auto weight_of = [affinity](const candidate& one) {
    return rendezvous_weight(affinity, one.row->hash);
  };
  while (lacking > 0.0 && !others.empty()) {
    std::size_t best = 0;
    std::uint64_t best_weight = 0;
    for (std::size_t place = 0; place < others.size(); ++place) {
      const std::uint64_t weight = weight_of(others[place]);
      if (weight > best_weight) {
        best = place;
        best_weight = weight;
      }
    }
    spread.push_back(others[best]);
    lacking -= others[best].room;
    others[best] = others.back();
    others.pop_back();
  }
}

/// Endpoints within the load bound to which a request with the prefix may be sent: those that
/// hold the prefix, and as many others in rendezvous order as are needed for the requests
/// that all gateways send before they next exchange their loads.
std::vector<candidate> spread_of_prefix(const std::vector<endpoint*>& open,
                                        const placement_hints& hints, std::uint64_t affinity,
                                        const pool_load& pool, steady_time now) {
  std::vector<candidate> spread;
  std::vector<candidate> others;
  double room = 0.0;
  for (endpoint* row : open) {
    candidate one{row, pool.bound - expected_load(*row, pool, now), choice_reason::home_of_prefix};
    if (one.room < 1.0) {
      continue;
    }
    if (is_holder(*row, hints.holders)) {
      one.reason = choice_reason::holds_prefix;
      spread.push_back(one);
      room += one.room;
    } else {
      others.push_back(one);
    }
  }
  widen_spread(spread, others, affinity, std::max(hints.expected_with_prefix, 1.0) - room);
  return spread;
}

/// Draws a candidate with a probability proportional to its room, so that gateways with the
/// same load data don't all choose the same one.
const candidate& draw_by_room(const std::vector<candidate>& spread, random_source& random) {
  double total = 0.0;
  for (const candidate& one : spread) {
    total += one.room;
  }
  double left = next_unit(random) * total;
  for (const candidate& one : spread) {
    left -= one.room;
    if (left < 0.0) {
      return one;
    }
  }
  // Reached only through rounding errors.
  return *std::max_element(
      spread.begin(), spread.end(),
      [](const candidate& one, const candidate& other) { return one.room < other.room; });
}

/// Load up to which endpoints are chosen by prefix: the multiple of the pool's mean, minus a
/// margin for the random variation of arrivals before the next load update. The margin grows
/// with the age of the load data.
double bounded_load(double mean, double arrivals, double turnover, const fleet_view& fleet) {
  // Lower bound, so that chats stay on their endpoints at normal load even if the load data is
  // old.
  const double least = (1.0 + fleet.load_multiple) / 2.0 * mean + 1.0;
  const double deviation = std::sqrt(arrivals);
  return std::max(least, fleet.load_multiple * mean + load_allowance - turnover * deviation);
}

pool_load load_of_pool(const std::vector<endpoint*>& endpoints, const placement_hints& hints,
                       const fleet_view& fleet, steady_time now) {
  pool_load pool;
  double listed = 0.0;
  for (const endpoint* row : endpoints) {
    pool.load += load_of(*row);
    pool.arrivals += recent_arrivals(*row, now);
    listed += row->listed ? 1.0 : 0.0;
  }
  // The mean is taken over all endpoints that the platform lists, so endpoints out of service
  // lower the bound of the others.
  const double mean = listed > 0.0 ? pool.load / listed : 0.0;
  pool.turnover = pool.load > 0.0 ? std::min(1.0, hints.expected_arrivals / pool.load) : 0.0;
  const double arrivals = hints.expected_arrivals / static_cast<double>(endpoints.size());
  pool.bound = bounded_load(mean, arrivals, pool.turnover, fleet);
  return pool;
}

/// The common load level that results if `arrivals` more requests fill up the least loaded
/// endpoints.
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

/// Weighs each endpoint by its distance from the level that all reach with the requests
/// expected before the next load update. With fresh load data the least loaded endpoint is
/// drawn. With old data it is nearly any endpoint, as otherwise all gateways would choose the
/// same one until the update.
std::vector<candidate> weigh_by_level(const std::vector<endpoint*>& open, double arrivals) {
  std::vector<double> loads;
  loads.reserve(open.size());
  for (const endpoint* row : open) {
    loads.push_back(load_of(*row));
  }
  const double level = level_after(loads, std::max(arrivals, 1.0));
  std::vector<candidate> lacking;
  lacking.reserve(open.size());
  for (endpoint* row : open) {
    lacking.push_back({row, std::max(0.0, level - load_of(*row)), choice_reason::levelled});
  }
  return lacking;
}

/// Hashes of the prompt's shared prefixes, the shortest first. The last part of a prompt is
/// left out, as it is specific to the request or its chat.
std::vector<std::uint64_t> prefixes_of(const caller_request& request) {
  const std::size_t shared = request.prompt.size() > 1 ? request.prompt.size() - 1 : 1;
  std::vector<std::uint64_t> prefixes;
  std::uint64_t hash = 0;
  for (std::size_t place = 0; place < shared && place < request.prompt.size(); ++place) {
    hash = rendezvous_weight(hash, request.prompt[place].id);
    prefixes.push_back(hash);
  }
  return prefixes;
}

/// Returns the first holder that is reachable. A leaving endpoint can still be a source until
/// it is removed.
const endpoint* first_reachable(const std::vector<endpoint*>& endpoints,
                                const std::vector<std::uint64_t>& holders, steady_time now) {
  for (const std::uint64_t holder : holders) {
    for (const endpoint* row : endpoints) {
      if (row->hash == holder && row->listed && !row->misplaced && !is_ejected(*row, now)) {
        return row;
      }
    }
  }
  return nullptr;
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

std::string_view name_of(endpoint_obstacle obstacle) {
  constexpr std::array<std::string_view, 11> names{
      "none",   "not_listed",          "leaving", "misplaced", "ejected",          "domain_out",
      "paused", "version_not_allowed", "full",    "unproven",  "cold_rate_used_up"};
  return names.at(static_cast<std::size_t>(obstacle));
}

std::uint64_t affinity_of(const caller_request& request) {
  const std::vector<std::uint64_t> prefixes = prefixes_of(request);
  return prefixes.empty() ? 0 : prefixes.back();
}

std::vector<std::uint64_t> shorter_prefixes(const caller_request& request) {
  std::vector<std::uint64_t> prefixes = prefixes_of(request);
  if (!prefixes.empty()) {
    prefixes.pop_back();
  }
  std::reverse(prefixes.begin(), prefixes.end());
  return prefixes;
}

bool in_service(const endpoint& row, const fleet_view& fleet, steady_time now) {
  return is_usable(row, fleet, now) && !is_paused(row, now);
}

double full_load(const endpoint& row, const pool& pool, const endpoint_limit& limit,
                 steady_time now) {
  if (limit.capacity == nullptr) {
    return row.listing.slots == 0 ? unlimited_load : waiting_allowance * row.listing.slots;
  }
  const std::uint32_t slots = row.listing.slots == 0 ? pool.slots : row.listing.slots;
  return slots == 0 ? unlimited_load
                    : overload::load_bound(ratio_for(*limit.capacity, limit.reserve), slots,
                                           slowdown_of(row.vm, now));
}

endpoint_obstacle find_obstacle(const endpoint& row, const pool& pool, const version_scope& scope,
                                const fleet_view& fleet, steady_time now,
                                const endpoint_limit& limit) {
  const endpoint_obstacle found = find_service_obstacle(row, fleet, now);
  if (found != endpoint_obstacle::none) {
    return found;
  }
  if (is_paused(row, now)) {
    return endpoint_obstacle::paused;
  }
  return in_scope(row, scope) ? find_load_obstacle(row, pool, limit, now)
                              : endpoint_obstacle::version_not_allowed;
}

bool has_room(const endpoint& row, const pool& pool, const version_scope& scope,
              const fleet_view& fleet, steady_time now, const endpoint_limit& limit) {
  return find_obstacle(row, pool, scope, fleet, now, limit) == endpoint_obstacle::none;
}

std::chrono::milliseconds shortest_pause(const std::vector<endpoint*>& endpoints,
                                         const fleet_view& fleet, steady_time now) {
  std::chrono::milliseconds shortest{0};
  for (const endpoint* row : endpoints) {
    if (is_usable(*row, fleet, now) && is_paused(*row, now)) {
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(row->paused_until - now);
      shortest = shortest.count() == 0 ? left : std::min(shortest, left);
    }
  }
  return shortest;
}

weighing weigh_endpoints(const std::vector<endpoint*>& endpoints, const pool& pool,
                         const caller_request& request, const placement_hints& hints,
                         const fleet_view& fleet, steady_time now) {
  std::vector<endpoint*> candidates;
  for (endpoint* row : endpoints) {
    if (may_choose(*row, hints, fleet, now)) {
      candidates.push_back(row);
    }
  }
  if (candidates.empty()) {
    const bool paused = shortest_pause(endpoints, fleet, now).count() > 0;
    return paused ? no_choice::all_paused : no_choice::none_in_service;
  }
  const std::vector<endpoint*> open = endpoints_with_room(candidates, pool, hints.limit, now);
  if (open.empty()) {
    return no_choice::all_full;
  }
  if (request.prompt.empty()) {
    return weighed_candidates{weigh_by_level(open, hints.expected_arrivals), 0.0};
  }
  const pool_load load = load_of_pool(endpoints, hints, fleet, now);
  std::vector<candidate> spread = spread_of_prefix(open, hints, affinity_of(request), load, now);
  if (spread.empty()) {
    spread.push_back({least_loaded(open), 1.0, choice_reason::least_loaded});
  }
  return weighed_candidates{std::move(spread), load.bound};
}

placement_choice draw_endpoint(const weighing& weighed, random_source& random) {
  if (const auto* none = std::get_if<no_choice>(&weighed)) {
    return *none;
  }
  const auto& [candidates, load_bound] = std::get<weighed_candidates>(weighed);
  // The least loaded endpoint is the only candidate and uses up no random number.
  const candidate& drawn = candidates.front().reason == choice_reason::least_loaded
                               ? candidates.front()
                               : draw_by_room(candidates, random);
  return placement{drawn.row, drawn.reason, load_bound};
}

placement_choice choose_endpoint(const std::vector<endpoint*>& endpoints, const pool& pool,
                                 const caller_request& request, const placement_hints& hints,
                                 const fleet_view& fleet, random_source& random, steady_time now) {
  return draw_endpoint(weigh_endpoints(endpoints, pool, request, hints, fleet, now), random);
}

bool within_load_bound(const endpoint& row, const std::vector<endpoint*>& endpoints,
                       const placement_hints& hints, const fleet_view& fleet, steady_time now) {
  const pool_load load = load_of_pool(endpoints, hints, fleet, now);
  return expected_load(row, load, now) + 1.0 <= load.bound;
}

const endpoint* prefix_source(const std::vector<endpoint*>& endpoints, const endpoint& chosen,
                              const placement_hints& hints, steady_time now) {
  if (is_holder(chosen, hints.holders)) {
    return nullptr;
  }
  if (const endpoint* source = first_reachable(endpoints, hints.holders, now)) {
    return source;
  }
  for (const std::vector<std::uint64_t>& holders : hints.shorter_holders) {
    if (is_holder(chosen, holders)) {
      return nullptr;
    }
    if (const endpoint* source = first_reachable(endpoints, holders, now)) {
      return source;
    }
  }
  return nullptr;
}

void begin_request(endpoint& row, steady_time now) {
  ++row.in_flight;
  note_arrival(row, now);
  if (counts_as_cold(row, now)) {
    row.pacing.next_at = now + row.pacing.interval;
    row.pacing.sent_at = now;
  }
}

void end_request(endpoint& row) {
  row.in_flight -= std::min<std::uint32_t>(row.in_flight, 1);
}

}  // namespace chestnuthead::gateway
