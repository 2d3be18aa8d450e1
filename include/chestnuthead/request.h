#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"
#include "chestnuthead/gossip.h"
#include "chestnuthead/ids.h"

/// Requests and attempts as the cores handle them: without bodies, which stay with the
/// traffic threads.
namespace chestnuthead {

/// Priority class of a request; classes listed earlier take precedence.
enum class request_class : std::uint8_t {
  quick_check,
  chat,
  long_plan,
};

/// Number of entries in `request_class`.
inline constexpr int request_class_count = 3;

/// How often a request may be executed.
enum class execution_rule : std::uint8_t {
  /// May be repeated, so a failed attempt may be retried at another endpoint.
  idempotent,
  /// Must never be executed twice.
  at_most_once,
};

/// The properties of a request that both cores need. Sent with each attempt.
struct request_facts {
  request_id request;
  customer_id customer;
  pool_id pool;
  /// Empty for requests that belong to no chat.
  chat_id chat;
  request_class importance = request_class::chat;
  execution_rule rule = execution_rule::idempotent;
  /// Set exactly when `rule` is `at_most_once`.
  idempotency_key key;
  /// Hash of method, path and body; equal for equal content.
  std::uint64_t fingerprint = 0;
  /// Estimated length of the prompt, in tokens; 0 for plain services.
  std::uint32_t prompt_tokens = 0;
  /// Upper bound of the answer's length, in tokens; 0 for plain services.
  std::uint32_t answer_tokens = 0;
  /// True if the chat has had an earlier turn, so that an endpoint may still have its
  /// prefix cached.
  bool returning = false;
};

/// Load and capacity of an endpoint, and how much of a chat's prefix it has cached; part
/// of every answer of an agent.
struct load_report {
  /// Requests admitted and not finished, including queued ones.
  std::uint32_t in_flight = 0;
  /// Admission limit of the agent at present.
  std::uint32_t limit = 0;
  /// Mean of `in_flight` over the pool, as estimated by this agent.
  double pool_mean = 0.0;
  /// Tokens of the request's prefix that this endpoint has cached.
  std::uint32_t resident_tokens = 0;
  /// Version of the newest configuration that this agent has.
  std::uint64_t configuration_version = 0;
  /// True once the agent has begun a planned stop or was taken out of service.
  bool leaving = false;
};

/// Why an agent refused an attempt. A refused attempt is never executed.
enum class refusal_kind : std::uint8_t {
  /// The endpoint is at its limit; try the next choice.
  full,
  /// The load exceeds the configured multiple of the pool's mean; try the next choice.
  above_mean,
  /// The endpoint is still warming up; try the next choice.
  cold,
  /// The endpoint is leaving or taken out of service; try the next choice.
  out_of_service,
  /// The chat's prefix is not cached here and the attempt requires it
  /// (`attempt_terms::only_if_resident`).
  not_resident,
  /// The customer has used up its share of the queue.
  customer_over_share,
  /// The wait would outlast the deadline.
  deadline,
  /// The request has crashed endpoints.
  crashes,
  /// The router's configuration is older than the agent's, and the difference affects
  /// this attempt.
  stale_router,
  /// The agent has not yet confirmed that its own configuration is current.
  not_ready,
  /// The table service is unavailable, so the call was not started.
  ledger_unavailable,
  /// The key was already used with different content.
  key_reused,
  /// The key is closed to further attempts.
  key_closed,
  /// Another attempt has claimed the key and has not finished.
  key_in_progress,
  /// This endpoint crashed while executing the same content; try the next choice.
  crashed_here,
};

/// How an attempt that was started ended.
enum class attempt_outcome : std::uint8_t {
  /// The complete answer was sent, verified by length and checksum.
  complete,
  /// The endpoint failed before or during its answer.
  endpoint_failed,
  /// The connection or the agent was lost; whether the request was executed is unknown.
  lost,
  /// The router cancelled it.
  cancelled,
  /// The ledger holds a claim without a result; a call with this key is never executed
  /// again.
  outcome_unknown,
};

/// Conditions that a router attaches to one attempt.
struct attempt_terms {
  /// Refuse unless the chat's prefix is cached at the endpoint.
  bool only_if_resident = false;
  /// Admit up to the hard limit even if the load exceeds the multiple of the mean; never
  /// set for model engines.
  bool ignore_mean = false;
  /// Bytes of the answer that the caller has already received from earlier attempts.
  std::uint64_t resume_offset = 0;
  /// Number of earlier attempts of this request.
  std::uint32_t earlier_attempts = 0;
  /// Loads of the endpoints that already refused this request, as reported with the
  /// refusals, so that the agents of the pool need not wait for gossip to learn them.
  std::vector<load_entry> refused_loads{};
};

}  // namespace chestnuthead
