#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Measure/routed_fleet.h"

/// The tables of a `routed_fleet`; private to its sources.
namespace chestnuthead {

struct routed_fleet::router_node {
  router_state_ptr state;
};

struct routed_fleet::agent_node {
  agent_state_ptr state;
  /// Grows when the VM is replaced: what was sent to an earlier one is lost.
  std::uint64_t incarnation = 0;
  bool cut = false;
};

struct routed_fleet::live_attempt {
  request_id request;
  std::size_t router = 0;
  std::size_t endpoint = 0;
  bool first_byte = false;
};

struct routed_fleet::live_request {
  planned_request planned;
  std::function<void(const request_outcome&)> done;
  steady_time arrived{};
  std::uint32_t cached_tokens = 0;
  std::chrono::microseconds until_first_byte{0};
  bool first_byte = false;
};

inline std::string domain_name(std::size_t domain) {
  return "domain-" + std::to_string(domain);
}

inline std::string router_name(std::size_t router) {
  return "router-" + std::to_string(router);
}

}  // namespace chestnuthead
