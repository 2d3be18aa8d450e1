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
#include "Gateway/rollout.h"

/// Load balancing with bounded loads: sends a request to the endpoint that is likely to cache
/// the longest prefix of its prompt, unless the endpoint's load exceeds a configured multiple
/// of its pool's mean.
namespace chestnuthead::gateway {

/// State of the fleet that placement uses in addition to the endpoints.
struct fleet_view {
  /// Gateways that share the endpoints, this one included.
  std::uint32_t gateways = 1;
  /// Failure domains that operators have taken out of service.
  std::set<failure_domain_id> domains_out;
  /// Highest load of one endpoint as a multiple of its pool's mean.
  double load_multiple = 1.5;
};

/// Requests that an endpoint may carry in addition to the multiple of the mean, so that chats
/// are not spread while a pool's load is low.
inline constexpr double load_allowance = 2.0;

/// Why no endpoint could be chosen.
enum class no_choice : std::uint8_t {
  /// The pool has no endpoint in service.
  none_in_service,
  /// All endpoints in service are at their limits.
  all_full,
  /// All endpoints that would otherwise be in service have requested a pause.
  all_paused,
};

/// Why an endpoint was chosen.
enum class choice_reason : std::uint8_t {
  /// It probably caches the prompt's prefix.
  holds_prefix,
  /// It comes first in the prefix's rendezvous order.
  home_of_prefix,
  /// No endpoint is within the load bound, and no other has a lower load.
  least_loaded,
  /// Drawn at random, weighted so that the known loads even out.
  levelled,
};

std::string_view name_of(choice_reason reason);

/// A chosen endpoint.
struct placement {
  endpoint* row = nullptr;
  choice_reason reason = choice_reason::least_loaded;
  /// Load bound up to which an endpoint is chosen by the prompt's prefix; 0 without a prompt.
  double load_bound = 0.0;
};

using placement_choice = std::variant<placement, no_choice>;

/// Hash of the request's shared prefix.
std::uint64_t affinity_of(const caller_request& request);

/// Hashes of the shorter prefixes at part boundaries, the longest first: requests of many
/// chats begin with the same parts.
std::vector<std::uint64_t> shorter_prefixes(const caller_request& request);

/// Why an endpoint can't take a request, in the order in which the reasons are checked.
enum class endpoint_obstacle : std::uint8_t {
  none,
  /// The platform no longer lists it.
  not_listed,
  leaving,
  /// Another endpoint answers at its address.
  misplaced,
  ejected,
  /// Operators have taken its failure domain out of service.
  domain_out,
  /// It has requested a pause.
  paused,
  /// The request may not be sent to its version.
  version_not_allowed,
  full,
  /// It was removed, and has not proven yet that it runs as listed again.
  unproven,
  /// It is cold, or may have started again, and this gateway has used up its share of the cold rate
  /// or has none.
  cold_rate_used_up,
};

std::string_view name_of(endpoint_obstacle obstacle);

/// True if new requests may be sent to the endpoint.
bool in_service(const endpoint& row, const fleet_view& fleet, steady_time now);

/// How far the endpoints of a pool under overload control are used for one request.
struct endpoint_limit {
  /// nullptr if the pool is not under control.
  const overload::pool_capacity* capacity = nullptr;
  /// Share of the load bounds that is left to more urgent requests.
  double reserve = 0.0;
  /// Tokens of the prompt and the answer.
  std::uint32_t tokens = 0;
};

/// Load from which the endpoint is not chosen; unlimited if its slots are not known.
double full_load(const endpoint& row, const pool& pool, const endpoint_limit& limit,
                 steady_time now);

/// The first obstacle to sending one more request of its pool to the endpoint.
endpoint_obstacle find_obstacle(const endpoint& row, const pool& pool, const version_scope& scope,
                                const fleet_view& fleet, steady_time now,
                                const endpoint_limit& limit = {});

/// True if the endpoint can take one more request of its pool: it is in service, of a version
/// that the request may be sent to, not full, and its cold rate is not used up.
bool has_room(const endpoint& row, const pool& pool, const version_scope& scope,
              const fleet_view& fleet, steady_time now, const endpoint_limit& limit = {});

/// Time until the first pause of an endpoint that is otherwise in service ends; zero if none
/// is paused.
std::chrono::milliseconds shortest_pause(const std::vector<endpoint*>& endpoints,
                                         const fleet_view& fleet, steady_time now);

/// Placement inputs for one request that are not part of the request itself.
struct placement_hints {
  /// Endpoints to which the request was sent before.
  std::vector<endpoint_id> tried;
  /// `endpoint::hash` of the endpoints that may cache the request's prefix.
  std::vector<std::uint64_t> holders;
  /// The same for each of `shorter_prefixes`.
  std::vector<std::vector<std::uint64_t>> shorter_holders;
  /// Requests that all gateways together are expected to send to the pool before the peers'
  /// loads are next updated.
  double expected_arrivals = 0.0;
  /// The number of these that have this request's prefix.
  double expected_with_prefix = 0.0;
  /// The endpoints that the request may be sent to by their versions.
  version_scope scope;
  endpoint_limit limit;
};

/// An endpoint that may be chosen.
struct candidate {
  endpoint* row = nullptr;
  /// Requests that it can take before it reaches the target load. The probability that it is
  /// drawn is proportional to it.
  double room = 0.0;
  choice_reason reason = choice_reason::least_loaded;
};

/// The endpoints among which a request's endpoint is drawn; at least one.
struct weighed_candidates {
  std::vector<candidate> candidates;
  /// As in `placement`.
  double load_bound = 0.0;
};

using weighing = std::variant<weighed_candidates, no_choice>;

/// Finds the endpoints between which `choose_endpoint` draws. Does not modify any state.
weighing weigh_endpoints(const std::vector<endpoint*>& endpoints, const pool& pool,
                         const caller_request& request, const placement_hints& hints,
                         const fleet_view& fleet, steady_time now);

/// Draws one of the candidates.
placement_choice draw_endpoint(const weighing& weighed, random_source& random);

/// Chooses an endpoint that was not tried: one that holds the prefix, else the first in
/// rendezvous order, each within the load bound; else the least loaded. If more requests with
/// the prefix are expected before the next load update than its holders have room for, they
/// are spread over further endpoints. Does not modify any state.
placement_choice choose_endpoint(const std::vector<endpoint*>& endpoints, const pool& pool,
                                 const caller_request& request, const placement_hints& hints,
                                 const fleet_view& fleet, random_source& random, steady_time now);

/// True if one more request keeps the endpoint within the load bound of its pool, whether or not
/// its requests have prompts.
bool within_load_bound(const endpoint& row, const std::vector<endpoint*>& endpoints,
                       const placement_hints& hints, const fleet_view& fleet, steady_time now);

/// Returns the endpoint from which the chosen one can copy the longest part of the prefix
/// that it doesn't hold itself, or nullptr if no reachable endpoint holds more.
const endpoint* prefix_source(const std::vector<endpoint*>& endpoints, const endpoint& chosen,
                              const placement_hints& hints, steady_time now);

/// Counts a request that is about to be sent to the endpoint.
void begin_request(endpoint& row, steady_time now);

/// Counts the end of a request at the endpoint.
void end_request(endpoint& row);

}  // namespace chestnuthead::gateway
