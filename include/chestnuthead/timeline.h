#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

/// Events that one process contributes to the timeline of all processes.
namespace chestnuthead {

/// A reading of the hybrid logical clock: wall clock milliseconds and a counter. The
/// order of readings respects causality across processes.
struct hybrid_time {
  std::chrono::milliseconds wall{0};
  std::uint32_t counter = 0;

  auto operator<=>(const hybrid_time&) const = default;
};

/// One event. Identifiers that do not apply are empty.
struct timeline_event {
  hybrid_time when;
  node_id node;
  /// Kind of the event, a fixed identifier such as "attempt_refused".
  std::string name;
  request_id request;
  attempt_id attempt;
  chat_id chat;
  endpoint_id endpoint;
  failure_domain_id failure_domain;
  /// A short description for people; contains no data of prompts or payments.
  std::string detail;
};

}  // namespace chestnuthead
