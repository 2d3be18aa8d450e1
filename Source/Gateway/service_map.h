#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chestnuthead/ids.h"

/// The configuration of a gateway: routes, pools, customers and limits. A map is built once
/// per version and shared read-only by the requests that were admitted under it.
namespace chestnuthead::gateway {

/// How often a request of a route may be executed.
enum class execution_limit : std::uint8_t {
  /// May be executed more than once.
  idempotent,
  /// At most once per request.
  at_most_once,
};

/// A pool that receives a share of a route's requests.
struct weighted_pool {
  pool_id pool;
  /// Share relative to the other pools of the route; a pool with weight zero gets no requests.
  double weight = 1.0;
};

/// How requests of one host and path prefix are handled.
struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  execution_limit executions = execution_limit::at_most_once;
  /// The answer is an event stream.
  bool streams = false;
  /// A broken stream may be continued by another endpoint.
  bool resumable = false;
  /// Requests list the parts of their prompt, which is used for cache-aware placement.
  bool has_prompt = false;
  /// Callers must send a key.
  bool needs_key = true;
  /// Longest time from arrival to the end of the answer.
  std::chrono::milliseconds timeout{0};
  /// Target for the time to the answer, or to a stream's first event.
  std::chrono::milliseconds latency_objective{0};
  /// Target for the longest pause between two events of a stream.
  std::chrono::milliseconds pause_objective{0};
  /// 0 is the most urgent.
  int priority = 0;
  /// Maximum number of endpoints that may execute one request.
  std::uint32_t max_attempts = 1;
  std::vector<weighted_pool> pools;
};

/// A pool of endpoints and its limits.
struct pool {
  pool_id name;
  std::string health_path;
  /// Connections that one endpoint accepts, summed over all gateways.
  std::uint32_t max_connections = 0;
  /// How long an endpoint stays cold after its start.
  std::chrono::milliseconds warm_up{0};
  /// Requests per second that a cold endpoint supports; zero means no limit.
  double cold_rate = 0.0;
  /// True for model engines, which batch requests and cache prompts.
  bool engine = false;
  /// Capacity of one engine's key-value cache for prompts and answers, in tokens.
  std::uint64_t memory_tokens = 0;
  /// Requests that one endpoint executes at once; 0 if not configured.
  std::uint32_t slots = 0;
};

/// A customer, identified by the key of a request.
struct customer {
  customer_id name;
  /// 0 is the most urgent; if negative, the route's priority applies.
  int priority = -1;
};

/// Limits for callers' requests and connections.
struct caller_limits {
  std::size_t header_bytes = 16'384;
  std::size_t body_bytes = 4'194'304;
  std::chrono::milliseconds header_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};
};

/// Transparent hash for lookups of `std::string` keys by `std::string_view`.
struct text_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};

template <class Value>
using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

/// One version of the configuration.
struct service_map {
  std::uint64_t version = 0;
  std::vector<route> routes;
  text_map<pool> pools;
  /// False if callers never need a key.
  bool has_customers = false;
  /// Customers by key.
  text_map<customer> customers_by_key;
  caller_limits limits;
  /// Indexes into `routes` by host, the longest prefix first.
  text_map<std::vector<std::size_t>> routes_by_host;
};

using service_map_ptr = std::shared_ptr<const service_map>;

/// Fills `routes_by_host`; call it once all routes are set.
void index_routes(service_map& map);

/// Returns the route with the longest prefix of `path`, or nullptr.
const route* find_route(const service_map& map, std::string_view host, std::string_view path);

/// Returns the customer that owns `key`, or nullptr.
const customer* find_customer(const service_map& map, std::string_view key);

/// Returns the pool with that name, or nullptr.
const pool* find_pool(const service_map& map, const pool_id& name);

/// The pools that receive requests of the route.
std::vector<weighted_pool> pools_with_weight(const route& route);

/// Picks a pool by weight; `unit` is a random number in [0, 1). Returns nullptr if no pool has
/// a weight.
const pool* pick_pool(const service_map& map, const std::vector<weighted_pool>& pools, double unit);

}  // namespace chestnuthead::gateway
