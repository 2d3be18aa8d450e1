#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chestnuthead/ids.h"
#include "chestnuthead/random_source.h"

#include "Measure/event_queue.h"
#include "Measure/workload.h"

namespace chestnuthead {

/// Behaviour of the callers of at-most-once calls.
struct payment_parameters {
  double calls_per_second = 2.0;
  /// Number of times that a caller retries a key before it gives up.
  std::uint32_t max_retries = 4;
};

/// Outcomes reported to the callers, compared with the executions.
struct payment_findings {
  std::uint64_t keys = 0;
  std::uint64_t answered = 0;
  std::uint64_t reported_not_run = 0;
  std::uint64_t reported_unknown = 0;
  std::uint64_t executions = 0;
  /// Keys that were executed more than once.
  std::uint64_t duplicates = 0;
  /// Requests that were executed although "not run" was reported to the caller.
  std::uint64_t false_not_run = 0;
  /// Answers to keys without an execution.
  std::uint64_t answered_without_execution = 0;
  /// Requests without an outcome so far.
  std::uint64_t open = 0;
};

/// Callers of at-most-once calls that retry with the same key until an answer
/// arrives or their retries are used up.
class payment_callers {
 public:
  payment_callers(event_queue& queue, random_source& random, const payment_parameters& parameters,
                  request_sender sender);

  /// Starts the calls; no new key is called after `end`.
  void begin(steady_time end);

  /// Must be called for each execution at an endpoint.
  void record_execution(const request_facts& facts);

  /// Returns the findings so far.
  [[nodiscard]] payment_findings findings() const;

 private:
  void next_call();
  void send_call(const idempotency_key& key, std::uint64_t fingerprint, std::uint32_t retries_left);
  void answered(const request_facts& facts, const request_outcome& outcome,
                std::uint32_t retries_left);

  event_queue& queue;
  random_source& random;
  payment_parameters parameters;
  request_sender send;
  steady_time end{};
  std::uint64_t requests = 0;
  payment_findings counts;
  std::map<idempotency_key, std::uint32_t> executions;
  std::set<request_id> executed;
  std::set<request_id> not_run;
};

}  // namespace chestnuthead
