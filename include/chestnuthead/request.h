#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"
#include "chestnuthead/gossip.h"
#include "chestnuthead/ids.h"

/// Requests and attempts as the cores know them: without their bodies, which
/// stay with the traffic threads.
namespace chestnuthead {

/// How urgent a request is; an earlier class goes first.
enum class request_class : std::uint8_t {
  quick_check,
  chat,
  long_plan,
};

/// Number of entries in `request_class`.
inline constexpr int request_class_count = 3;

/// How often a request may be executed.
enum class execution_rule : std::uint8_t {
  /// May be repeated, so a failed attempt may be tried elsewhere.
  idempotent,
  /// Must never be executed twice.
  at_most_once,
};

/// What both cores need to know of a request. It travels with each attempt.
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
  /// Hash of method, path and body: the same content has the same value.
  std::uint64_t fingerprint = 0;
  /// Estimate of the prompt's length, in tokens; 0 for plain services.
  std::uint32_t prompt_tokens = 0;
  /// Upper bound of the answer's length, in tokens; 0 for plain services.
  std::uint32_t answer_tokens = 0;
  /// True if the chat has had an earlier turn, so that some endpoint may still
  /// hold its prefix.
  bool returning = false;
};

/// What an endpoint holds of a chat, and what it can take; rides on every
/// answer of an agent.
struct load_report {
  /// Requests admitted and not finished, queued ones included.
  std::uint32_t in_flight = 0;
  /// Requests the agent would admit at present.
  std::uint32_t limit = 0;
  /// Mean of `in_flight` over the pool as this agent knows it.
  double pool_mean = 0.0;
  /// Tokens of the request's prefix that this endpoint holds.
  std::uint32_t resident_tokens = 0;
  /// The newest configuration that this agent holds.
  std::uint64_t configuration_version = 0;
  /// True once the agent has begun a planned stop or was taken out.
  bool leaving = false;
};

/// Why an agent did not take an attempt. A refused attempt never runs.
enum class refusal_kind : std::uint8_t {
  /// At its limit: try the next choice.
  full,
  /// Above the set multiple of the pool's mean: try the next choice.
  above_mean,
  /// Still warming up: try the next choice.
  cold,
  /// Leaving or taken out: try the next choice.
  out_of_service,
  /// The chat's prefix is not here and the attempt asked only a holder.
  not_resident,
  /// The customer has used up its share of the queue.
  customer_over_share,
  /// The wait would outlast the deadline.
  deadline,
  /// The request crashed endpoints before.
  crashes,
  /// The router's configuration is older than the agent's and matters here.
  stale_router,
  /// The agent does not know yet whether its own configuration is current.
  not_ready,
  /// The table can't be asked, so the call was not begun.
  ledger_unavailable,
  /// The key was used before with other content.
  key_reused,
  /// The key takes no further attempts.
  key_closed,
  /// Another attempt holds the key and has not finished.
  key_in_progress,
  /// This endpoint crashed while it ran this content: try the next choice.
  crashed_here,
};

/// How an attempt that was begun came to its end.
enum class attempt_outcome : std::uint8_t {
  /// The whole answer was sent, checked by length and checksum.
  complete,
  /// The endpoint failed before or during its answer.
  endpoint_failed,
  /// The link or the agent was lost; what happened there is not known.
  lost,
  /// The router cancelled it.
  cancelled,
  /// A claim stands without a result; the key never runs again.
  outcome_unknown,
};

/// Conditions that a router sets for one attempt.
struct attempt_terms {
  /// Refuse unless the chat's prefix is held here.
  bool only_if_resident = false;
  /// Admit up to the hard limit, past the multiple of the mean: never set for
  /// model engines.
  bool ignore_mean = false;
  /// Bytes of the answer that the caller already has from an earlier attempt.
  std::uint64_t resume_offset = 0;
  /// How many attempts of this request came before.
  std::uint32_t earlier_attempts = 0;
  /// Loads of the endpoints that refused this request before, as they said
  /// then; spares the agents of a pool a wait for gossip.
  std::vector<load_entry> refused_loads{};
};

}  // namespace chestnuthead
