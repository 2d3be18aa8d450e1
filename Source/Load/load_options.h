#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chestnuthead {

/// Workload of the load tool and the routers that receive it.
struct load_options {
  /// Addresses of routers; each call goes to a randomly chosen one, as behind a
  /// load balancer.
  std::vector<std::string> routers;
  std::uint64_t requests = 200;
  std::uint64_t seed = 1;
  /// Sessions started per second; 0 starts all of them at once.
  double rate = 0.0;
  /// Maximum number of calls in flight.
  std::uint64_t concurrency = 16;
  std::vector<std::string> customers{"schools"};
  std::string model = "chestnut-llm";
  std::string service = "kit-orders";
  /// Paths of at-most-once calls and of idempotent look-ups.
  std::string call_path = "/payments";
  std::string lookup_path = "/orders";
  /// Mean pause between two turns of a chat.
  std::uint64_t pause_ms = 150;
  /// Maximum time for which a caller retries one request.
  std::uint64_t patience_ms = 30'000;
  /// Plain services whose execution counts are compared with the outcomes
  /// reported to callers.
  std::vector<std::string> executions_from;
  /// Number of model endpoints in the fleet, used for the mean in the skew; 0
  /// counts only those that answered.
  std::uint64_t model_endpoints = 0;
  /// Restrict the workload to model calls, or to calls of the plain service.
  bool only_model = false;
  bool only_service = false;
};

}  // namespace chestnuthead
