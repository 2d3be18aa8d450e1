#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Gateways under overload control that share one pool, on a virtual clock.
namespace chestnuthead::overload {

/// Requests of one customer at one priority.
struct traffic_kind {
  int priority = 0;
  std::string customer;
  double per_second = 0.0;
  /// Rate during the surge as a multiple of `per_second`.
  double surge_multiple = 1.0;
};

struct surge_options {
  std::size_t gateways = 25;
  std::size_t endpoints = 4;
  bool are_engines = true;
  std::uint32_t slots = 64;
  std::size_t queue = 192;
  /// Time that a request occupies a slot.
  std::chrono::milliseconds min_work{800};
  std::chrono::milliseconds max_work{2'400};
  /// From the start of an engine's work to the first event.
  std::chrono::milliseconds first_event{60};
  std::chrono::milliseconds objective{400};
  std::chrono::milliseconds surge_from{4'000};
  std::chrono::milliseconds surge_until{12'000};
  std::chrono::milliseconds end{16'000};
  std::vector<traffic_kind> kinds;
  /// The first gateway receives this multiple of the requests of each other one.
  double first_gateway_weight = 1.0;
  /// Endpoints that answer nothing after the start of the surge.
  std::size_t silent = 0;
  /// Multiple of the work's time at the first endpoint.
  double first_endpoint_slowdown = 1.0;
  std::uint64_t seed = 1;
};

/// Requests that arrived in a part of a run.
struct traffic_result {
  double offered = 0.0;
  double in_time = 0.0;
  double late = 0.0;
  double refused = 0.0;
  double rejected = 0.0;

  [[nodiscard]] double share() const {
    return this->offered > 0.0 ? this->in_time / this->offered : 1.0;
  }
};

struct surge_result {
  /// Results of the requests that arrived in the surge, without its first second, by kind.
  std::vector<traffic_result> kinds;
  /// Results of the requests that arrived before the surge, by kind.
  std::vector<traffic_result> before;
  /// Results of the requests that arrived one to three seconds after the surge.
  traffic_result after;
  /// Results of the whole surge, its first second included.
  traffic_result surge;
  /// The longest time for which a refused request waited, as a share of the objective.
  double longest_wait_share = 0.0;
  /// Most gateways that had a limit at the same time.
  std::size_t limited_gateways = 0;
  double seconds = 0.0;
};

surge_result run_surge(const surge_options& options);

}  // namespace chestnuthead::overload
