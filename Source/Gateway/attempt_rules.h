#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"

#include "Gateway/service_map.h"

/// What may follow when a request has ended at an endpoint without a whole
/// answer for the caller.
namespace chestnuthead::gateway {

/// What the endpoint may have done with the request.
enum class attempt_end : std::uint8_t {
  /// It vouched that it did not execute the request, or never got it.
  not_executed,
  /// It answered with an error of its own.
  error_answer,
  /// It may have executed the request; no usable answer came.
  unknown,
};

/// A request's story up to now.
struct attempt_history {
  /// Endpoints to which the request was sent.
  std::uint32_t sends = 0;
  /// Endpoints that may have executed it.
  std::uint32_t executions = 0;
  /// The caller has part of the answer.
  bool answer_begun = false;
};

/// What the gateway does next with the request.
enum class next_step : std::uint8_t {
  /// Send it to another endpoint.
  try_another,
  /// Give the caller the endpoint's own error answer.
  pass_error,
  /// Refuse it: it was not executed and never will be.
  refuse,
  /// Tell the caller that the endpoint failed; promises nothing.
  report_failure,
  /// Close the caller's connection, so that the answer looks incomplete.
  cut,
};

/// Sends beyond `max_attempts` that rejections by endpoints may cause.
inline constexpr std::uint32_t sends_for_rejections = 2;

/// Decides what follows. `budget_left` says whether the pool's retry budget
/// allows one more send.
next_step after_attempt(const route& route, const attempt_history& history, attempt_end end,
                        bool budget_left);

/// How long an idempotent request may hear nothing of its endpoint before it is
/// sent to another one. Engines may be busy with long prompts, and a prompt that is
/// sent twice is read twice; plain calls take about as long each time.
std::chrono::milliseconds silence_limit(const route& route, bool has_prompt, bool answer_begun);

/// Limits second sends to one pool: a share of its requests in a window plus
/// this gateway's part of a fixed allowance.
struct resend_budget {
  struct second_count {
    std::int64_t second = 0;
    std::uint32_t requests = 0;
    std::uint32_t resends = 0;
  };
  /// Counts of each second of the window, oldest first.
  std::deque<second_count> seconds;
};

/// Terms of the budget; the platform's bounds give them.
struct resend_terms {
  /// Resends as a share of requests, over all gateways.
  double share = 0.2;
  /// Resends allowed beyond that, over all gateways.
  double allowance = 10.0;
  std::chrono::seconds window{10};
};

/// A request for the pool has arrived.
void count_request(resend_budget& budget, const resend_terms& terms, steady_time now);

/// A request was sent once more.
void count_resend(resend_budget& budget, const resend_terms& terms, steady_time now);

/// Requests a second that this gateway has had for the pool within the window.
double request_rate(const resend_budget& budget, const resend_terms& terms, steady_time now);

/// Resends left to this gateway within the window.
double resends_left(const resend_budget& budget, const resend_terms& terms, std::uint32_t gateways,
                    steady_time now);

/// True if one more resend stays within this gateway's part of the budget.
bool resend_allowed(const resend_budget& budget, const resend_terms& terms, std::uint32_t gateways,
                    steady_time now);

}  // namespace chestnuthead::gateway
