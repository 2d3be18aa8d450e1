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

/// What operators have set for a gateway: routes, pools, customers and limits.
/// A map is built once per version and shared read-only by the requests that
/// began under it.
namespace chestnuthead::gateway {

/// How often a request of a route may be executed.
enum class execution_limit : std::uint8_t {
  /// May be executed more than once.
  idempotent,
  /// At most once per request.
  at_most_once,
};

/// A pool that gets a share of a route's requests.
struct weighted_pool {
  pool_id pool;
  /// Share relative to the other pools of the route; zero gets nothing.
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
  /// Requests list the parts of their prompt, so that caches can be used.
  bool has_prompt = false;
  /// Callers need a key.
  bool needs_key = true;
  /// Longest time from arrival to the end of the answer.
  std::chrono::milliseconds timeout{0};
  /// Time to the answer, or to a stream's first event, that counts as on time.
  std::chrono::milliseconds latency_objective{0};
  /// Longest pause between events that counts as on time.
  std::chrono::milliseconds pause_objective{0};
  /// 0 is the most urgent.
  int priority = 0;
  /// Endpoints that may execute one request.
  std::uint32_t max_attempts = 1;
  std::vector<weighted_pool> pools;
};

/// A pool of endpoints and its limits.
struct pool {
  pool_id name;
  std::string health_path;
  /// Connections that one endpoint accepts from all gateways together.
  std::uint32_t max_connections = 0;
  /// How long an endpoint stays cold after its start.
  std::chrono::milliseconds warm_up{0};
  /// Requests a second that a cold endpoint bears; zero means no limit.
  double cold_rate = 0.0;
  /// True for model engines, which batch requests and cache prompts.
  bool engine = false;
  /// Memory of one engine for prompts and answers, in tokens.
  std::uint64_t memory_tokens = 0;
  /// Requests that one endpoint executes at once, or 0 if not said.
  std::uint32_t slots = 0;
};

/// A customer whose requests carry one of its keys.
struct customer {
  customer_id name;
  /// 0 is the most urgent; negative means that the route's priority counts.
  int priority = -1;
};

/// Bounds on what a caller may send.
struct caller_limits {
  std::size_t header_bytes = 16'384;
  std::size_t body_bytes = 4'194'304;
  std::chrono::milliseconds header_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};
};

/// Lets text views look up owned texts.
struct text_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};

template <class Value>
using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

/// One version of everything that operators set.
struct service_map {
  std::uint64_t version = 0;
  std::vector<route> routes;
  text_map<pool> pools;
  /// False where callers need no key at all.
  bool has_customers = false;
  /// Customers by key.
  text_map<customer> customers_by_key;
  caller_limits limits;
  /// Places in `routes` by host, the longest prefix first.
  text_map<std::vector<std::size_t>> routes_by_host;
};

using service_map_ptr = std::shared_ptr<const service_map>;

/// Fills `routes_by_host`; call it once all routes are set.
void index_routes(service_map& map);

/// The route of the longest prefix that begins `path`, or nullptr.
const route* find_route(const service_map& map, std::string_view host, std::string_view path);

/// The customer that holds `key`, or nullptr.
const customer* find_customer(const service_map& map, std::string_view key);

/// The pool of that name, or nullptr.
const pool* find_pool(const service_map& map, const pool_id& name);

/// Picks the pool for one request; `unit` is a random number from 0 up to 1.
const pool* pick_pool(const service_map& map, const route& route, double unit);

}  // namespace chestnuthead::gateway
