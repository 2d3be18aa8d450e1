#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chestnuthead {

/// What the load tool plays, and against whom.
struct load_options {
  /// Addresses of routers; each call goes to one of them at random, as behind a
  /// balancer.
  std::vector<std::string> routers;
  std::uint64_t requests = 200;
  std::uint64_t seed = 1;
  /// First requests of sessions begun a second; 0 begins all at once.
  double rate = 0.0;
  /// Calls in flight at most.
  std::uint64_t concurrency = 16;
  std::vector<std::string> customers{"schools"};
  std::string model = "chestnut-llm";
  std::string service = "kit-orders";
  /// Path of at-most-once calls, and of idempotent look-ups.
  std::string call_path = "/payments";
  std::string lookup_path = "/orders";
  /// Mean pause between two turns of a chat.
  std::uint64_t pause_ms = 150;
  /// Longest time that a caller goes on asking for one answer.
  std::uint64_t patience_ms = 30'000;
  /// Plain services whose count of executions is compared with what callers
  /// were told.
  std::vector<std::string> executions_from;
  /// Model endpoints of the fleet, for the mean of the skew; 0 takes those that
  /// answered.
  std::uint64_t model_endpoints = 0;
  /// Leaves out calls that are not to the model, or those that are.
  bool only_model = false;
  bool only_service = false;
};

}  // namespace chestnuthead
