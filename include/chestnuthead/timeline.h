#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

/// Events of one process for the time line over all processes.
namespace chestnuthead {

/// A reading of the hybrid logical clock: calendar milliseconds and a counter,
/// ordered over all processes by cause and effect.
struct hybrid_time {
  std::chrono::milliseconds wall{0};
  std::uint32_t counter = 0;

  auto operator<=>(const hybrid_time&) const = default;
};

/// One event. Identifiers that do not apply are empty.
struct timeline_event {
  hybrid_time when;
  node_id node;
  /// What happened, as a fixed word such as "attempt_refused".
  std::string name;
  request_id request;
  attempt_id attempt;
  chat_id chat;
  endpoint_id endpoint;
  failure_domain_id failure_domain;
  /// One short phrase for people; holds nothing of a prompt or a payment.
  std::string detail;
};

}  // namespace chestnuthead
