#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/placement.h"
#include "Net/json_log.h"

/// What is kept of a request's way, so that its log lines can be written once
/// it is known whether they are needed.
namespace chestnuthead::traffic {

/// One endpoint that was chosen for a request, and what came of it.
struct attempt_record {
  endpoint_id endpoint;
  gateway::choice_reason reason = gateway::choice_reason::least_loaded;
  /// The endpoint's load as it was known when it was chosen.
  double load = 0.0;
  /// `gateway::placement::load_bound` of the choice.
  double load_bound = 0.0;
  /// Endpoints known to hold the prompt's shared prefix.
  std::size_t holders = 0;
  steady_time began_at{};
  steady_time ended_at{};
  /// How it ended; empty while it goes on.
  std::string_view result;
  /// Status of the endpoint's answer; 0 if none came.
  int status = 0;
  /// Events passed to the caller.
  std::uint64_t events = 0;
};

/// Whole milliseconds from one time to the other.
std::int64_t milliseconds_between(steady_time from, steady_time to);

/// Writes one line for each attempt of a request that arrived at `arrived_at`.
void log_attempts(json_log& log, const std::string& request,
                  const std::vector<attempt_record>& attempts, steady_time arrived_at);

}  // namespace chestnuthead::traffic
