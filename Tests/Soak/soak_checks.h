#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "soak_caller.h"
#include "soak_endpoint.h"
#include "soak_streams.h"

namespace chestnuthead::soak {

/// Time until a revoked key is refused everywhere, as in the gateways' settings.
inline constexpr std::chrono::milliseconds key_lag{5'000};
/// Time until a leaving endpoint gets no new requests, as in the gateways' settings.
inline constexpr std::chrono::milliseconds leaving_lag{2'000};
/// Time after the end of a disturbance in which its process may still be affected.
inline constexpr std::chrono::milliseconds contact_time{3'000};
/// Deadline of every request and time-out of every route except of writings, as in the requests
/// and the configuration.
inline constexpr std::chrono::milliseconds patience{4'000};
/// Longest time until service has recovered after the last fault.
inline constexpr std::chrono::milliseconds recovery_time{12'000};

/// How long an endpoint is cold, and the requests a second that it then bears, as configured.
inline constexpr std::chrono::seconds cold_time{3};
inline constexpr int cold_rate = 14;
/// Most requests that a cold endpoint bears in one second.
inline constexpr std::size_t cold_bound = cold_rate * 3 / 2 + 5;
/// Time until gateways have read the row of an endpoint that turns cold while it serves.
inline constexpr std::chrono::milliseconds cold_lag{1'000};

/// What a fault affected.
enum class disturbed_part : std::uint8_t {
  /// The gateway's process.
  gateway_process,
  /// The gateway's link to the store.
  store_link,
  /// The link to the endpoint, on which requests may be lost before they reach it.
  endpoint_link,
  /// The endpoint's answers.
  endpoint_answers,
};

/// A period in which a fault affected a process.
struct disturbance {
  /// Name of the gateway or the endpoint.
  std::string process;
  disturbed_part part = disturbed_part::gateway_process;
  steady_time from{};
  steady_time until{};
};

/// A period in which an endpoint is cold.
struct cold_start {
  std::string endpoint;
  /// The endpoint goes on serving, and only its row says that it is cold.
  bool in_place = false;
  steady_time from{};
  /// From here on its requests are limited.
  steady_time counted_from{};
  steady_time until{};
};

/// A request that reached an endpoint.
struct arrival {
  steady_time at{};
  std::string gateway;
  std::string request;
};

/// Requests, faults and changes of a run, as input for the checks.
struct soak_history {
  std::vector<soak_request> requests;
  std::vector<disturbance> disturbances;
  /// When the store committed the revocation of each key.
  std::map<std::string, steady_time> revoked_keys;
  /// For each endpoint, when the store committed the row that marks it as leaving, and when
  /// the endpoint was listed as ready again under the same name.
  std::map<std::string, std::vector<std::pair<steady_time, steady_time>>> departures;
  /// Planned stops of gateways.
  std::vector<disturbance> planned_stops;
  /// For each endpoint, the periods in which it sent nothing and lost nothing.
  std::map<std::string, std::vector<std::pair<steady_time, steady_time>>> silences;
  /// When the first fault may be injected.
  steady_time faults_from{};
  /// Requests with the part that crashes endpoints, the period in which they were sent, and the
  /// crashes in order.
  std::set<std::string> crashing_requests;
  steady_time crashing_from{};
  steady_time crashing_until{};
  std::vector<steady_time> crashes;
  std::deque<writing> writings;
  std::vector<cold_start> cold_starts;
};

/// The requests of the second in which the cold endpoint got the most of those that count.
std::vector<arrival> busiest_second(const soak_history& history, const execution_log& executions,
                                    const cold_start& start);

/// Returns all violated guarantees, one sentence each.
std::vector<std::string> find_violations(const soak_history& history,
                                         const execution_log& executions);

}  // namespace chestnuthead::soak
