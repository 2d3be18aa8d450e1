#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/placement.h"
#include "Gateway/rollout_schedule.h"
#include "Net/json_log.h"

/// Records a request's attempts, so that they can be logged once the request has ended and
/// it is known whether its log lines are needed.
namespace chestnuthead::traffic {

/// One attempt of a request at a chosen endpoint, and its result.
struct attempt_record {
  endpoint_id endpoint;
  gateway::choice_reason reason = gateway::choice_reason::least_loaded;
  /// The endpoint's load, as known when it was chosen.
  double load = 0.0;
  /// `gateway::placement::load_bound` of the choice.
  double load_bound = 0.0;
  /// Endpoints known to hold the prompt's shared prefix.
  std::size_t holders = 0;
  steady_time began_at{};
  steady_time ended_at{};
  /// Result of the attempt; empty while it is in progress.
  std::string_view result;
  /// HTTP status of the endpoint's answer; 0 if none was received.
  int status = 0;
  /// Stream events forwarded to the caller, those of earlier attempts included.
  std::uint64_t events = 0;
  /// Those of earlier attempts.
  std::uint64_t events_before = 0;
  /// When the first and the latest bytes of the answer were forwarded.
  std::optional<steady_time> first_bytes_at;
  std::optional<steady_time> last_bytes_at;
  /// It was sent while another attempt was in progress.
  bool hedged = false;
  /// Tokens of the prompt that the endpoint probably had to read.
  std::uint32_t tokens_to_read = 0;
  /// Why the endpoint's version was chosen.
  gateway::version_choice version_choice = gateway::version_choice::settled;
};

/// Whole milliseconds between two points in time.
std::int64_t milliseconds_between(steady_time from, steady_time to);

/// Writes one log line for each attempt of a request that arrived at `arrived_at`.
void log_attempts(json_log& log, const std::string& request,
                  const std::vector<attempt_record>& attempts, steady_time arrived_at);

}  // namespace chestnuthead::traffic
