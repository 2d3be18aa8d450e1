#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Measure/routed_fleet.h"

/// Node and request state of a `routed_fleet`; private to its sources.
namespace chestnuthead {

struct routed_fleet::router_node {
  router_state_ptr state;
  /// Incremented when the process is replaced; messages to an earlier one are lost.
  std::uint64_t incarnation = 0;
  bool running = false;
};

struct routed_fleet::agent_node {
  agent_state_ptr state;
  /// Incremented when the agent or its VM is replaced; messages to an earlier one
  /// are lost.
  std::uint64_t incarnation = 0;
  bool cut = false;
  /// The process is paused until this time; incoming messages wait.
  steady_time frozen_until{};
};

struct routed_fleet::live_attempt {
  request_facts facts;
  std::size_t router = 0;
  std::uint64_t router_incarnation = 0;
  std::size_t endpoint = 0;
  bool first_byte = false;
  /// The link broke during the attempt; the agent's messages about it are dropped.
  bool link_lost = false;
};

struct routed_fleet::live_request {
  planned_request planned;
  std::function<void(const request_outcome&)> done;
  steady_time arrived{};
  std::uint32_t cached_tokens = 0;
  std::chrono::microseconds until_first_byte{0};
  bool first_byte = false;
  std::size_t router = 0;
};

inline std::string domain_name(std::size_t domain) {
  return "domain-" + std::to_string(domain);
}

inline std::string router_name(std::size_t router) {
  return "router-" + std::to_string(router);
}

}  // namespace chestnuthead
