#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/random_source.h"

#include "Gateway/endpoint_table.h"

/// Chooses the endpoint for a request: where the longest shared prefix of its
/// prompt is likely to be cached, unless that endpoint carries more than a set
/// multiple of its pool's mean load.
namespace chestnuthead::gateway {

/// What the choice knows of the fleet beside the endpoints.
struct fleet_view {
  /// Gateways that share the endpoints, this one included.
  std::uint32_t gateways = 1;
  /// Failure domains that operators have taken out of service.
  std::set<failure_domain_id> domains_out;
  /// Highest load of one endpoint as a multiple of its pool's mean.
  double load_multiple = 1.5;
};

/// Requests over the bounded mean that any endpoint may carry, so that a pool
/// with little load does not spread its chats.
inline constexpr double load_allowance = 2.0;

/// Why no endpoint could be chosen.
enum class no_choice : std::uint8_t {
  /// The pool has no endpoint in service.
  none_in_service,
  /// All endpoints in service are at their limits.
  all_full,
  /// All endpoints that would be in service have asked for a pause.
  all_paused,
};

/// Why an endpoint was chosen before the others.
enum class choice_reason : std::uint8_t {
  /// It may cache the prompt's prefix.
  holds_prefix,
  /// It comes first in the prefix's rendezvous order.
  home_of_prefix,
  /// All others carry as much or more, and none is within the bounded load.
  least_loaded,
  /// Drawn so that loads level out, as far as they are known.
  levelled,
};

std::string_view name_of(choice_reason reason);

/// A chosen endpoint.
struct placement {
  endpoint* row = nullptr;
  choice_reason reason = choice_reason::least_loaded;
  /// Load up to which the choice followed the prompt's prefix; 0 without a
  /// prompt.
  double load_bound = 0.0;
};

using placement_choice = std::variant<placement, no_choice>;

/// Hash that requests with the same shared prefix have in common.
std::uint64_t affinity_of(const caller_request& request);

/// The same for each shorter prefix that ends with a part, the longest first: requests of
/// many chats begin with the same parts.
std::vector<std::uint64_t> shorter_prefixes(const caller_request& request);

/// True if new requests may go to the endpoint at all.
bool in_service(const endpoint& row, const fleet_view& fleet, steady_time now);

/// Time until the first of the endpoints that have asked for a pause takes requests again;
/// zero if there is none.
std::chrono::milliseconds shortest_pause(const std::vector<endpoint*>& endpoints,
                                         const fleet_view& fleet, steady_time now);

/// What is known of one request beside its own words.
struct placement_hints {
  /// Endpoints that were tried before.
  std::vector<endpoint_id> tried;
  /// `endpoint::hash` of those that may cache the request's prefix.
  std::vector<std::uint64_t> holders;
  /// The same for each of `shorter_prefixes`.
  std::vector<std::vector<std::uint64_t>> shorter_holders;
  /// Requests that all gateways together are expected to send to the pool until
  /// the next news of the peers' loads.
  double expected_meanwhile = 0.0;
  /// Those of them that have this request's prefix.
  double expected_with_prefix = 0.0;
};

/// Chooses an endpoint that was not tried: one that holds the prefix, else the
/// first in rendezvous order, each within the bounded load; else the least
/// loaded. A prefix with more requests than its holders have room for until the
/// next news is spread over further endpoints. Changes nothing.
placement_choice choose_endpoint(const std::vector<endpoint*>& endpoints, const pool& pool,
                                 const caller_request& request, const placement_hints& hints,
                                 const fleet_view& fleet, random_source& random, steady_time now);

/// The endpoint from which the chosen one can copy the longest part of the prefix that it
/// does not hold itself, or nullptr if nobody in reach holds more than it does.
const endpoint* prefix_source(const std::vector<endpoint*>& endpoints, const endpoint& chosen,
                              const placement_hints& hints, steady_time now);

/// This gateway's time between two requests to a cold endpoint.
std::chrono::milliseconds cold_interval(const pool& pool, const fleet_view& fleet);

/// Books a request at the endpoint.
void begin_request(endpoint& row, const pool& pool, const fleet_view& fleet, steady_time now);

/// The request has ended at the endpoint.
void end_request(endpoint& row);

}  // namespace chestnuthead::gateway
