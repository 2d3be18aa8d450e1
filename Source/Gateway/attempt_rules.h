#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string_view>

#include "chestnuthead/clock.h"
#include "chestnuthead/error_kind.h"

#include "Gateway/service_map.h"

/// Retry policy: decides what the gateway does after an endpoint has ended a request
/// without a complete answer for the caller.
namespace chestnuthead::gateway {

/// How an attempt ended at its endpoint.
enum class attempt_end : std::uint8_t {
  /// The endpoint did not receive the request or guaranteed that it did not execute it.
  not_executed,
  /// The endpoint answered with an error.
  error_answer,
  /// The endpoint may have executed the request, but sent no usable answer.
  unknown,
};

/// Attempts of a request so far.
struct attempt_history {
  /// Endpoints to which the request was sent.
  std::uint32_t sends = 0;
  /// Endpoints that may have executed it.
  std::uint32_t executions = 0;
  /// The caller has received part of the answer.
  bool answer_begun = false;
};

/// What the gateway does next with the request.
enum class next_step : std::uint8_t {
  /// Send it to another endpoint.
  try_another,
  /// Forward the endpoint's error answer to the caller.
  pass_error,
  /// Refuse the request: it was not executed and won't be.
  refuse,
  /// Report to the caller that the endpoint failed, without stating whether the request
  /// was executed.
  report_failure,
  /// Close the caller's connection, so that the caller detects an incomplete answer.
  cut,
};

/// Sends allowed beyond `max_attempts` after rejections by endpoints.
inline constexpr std::uint32_t sends_for_rejections = 2;

/// Why a request can't be sent to another endpoint.
enum class resend_obstacle : std::uint8_t {
  none,
  /// It was sent as often as its route allows.
  sends_used,
  /// As many endpoints may have executed it as its route allows.
  executions_used,
  /// It may run at most once, and may have run.
  not_repeatable,
  /// Part of the answer was forwarded, and the route's answers can't be resumed.
  not_resumable,
  /// The pool's retry budget is used up.
  no_budget,
  /// No other endpoint can take it.
  no_endpoint,
  /// The pool has too little capacity for the requests that arrive.
  pool_short,
};

std::string_view name_of(resend_obstacle obstacle);

/// The first obstacle to sending the request to another endpoint, apart from whether there is
/// one. `budget_left` is true if the pool's retry budget allows one more send.
resend_obstacle obstacle_to_resend(const route& route, const attempt_history& history,
                                   bool budget_left);

/// Decides the next step.
next_step after_attempt(resend_obstacle obstacle, const attempt_history& history, attempt_end end);

/// How long an idempotent request may receive no bytes from its endpoint before it is
/// sent to another one. The limit is longer with a prompt: engines may be busy with long
/// prompts, and a resent prompt is processed twice. Plain calls take about the same time
/// each.
std::chrono::milliseconds silence_limit(const route& route, bool has_prompt, bool answer_begun);

/// Retry budget of one pool: a share of its requests within a sliding window plus this
/// gateway's part of a fixed allowance.
struct resend_budget {
  struct second_count {
    std::int64_t second = 0;
    std::uint32_t requests = 0;
    std::uint32_t resends = 0;
  };
  /// Counts per second of the window, oldest first.
  std::deque<second_count> seconds;
};

/// Parameters of the retry budget. They follow from the platform's limits.
struct resend_terms {
  /// Resends as a share of requests, summed over all gateways.
  double share = 0.2;
  /// Additional resends within the window, summed over all gateways.
  double allowance = 10.0;
  std::chrono::seconds window{10};
};

/// Counts a request for the pool.
void count_request(resend_budget& budget, const resend_terms& terms, steady_time now);

/// Counts a resend to the pool.
void count_resend(resend_budget& budget, const resend_terms& terms, steady_time now);

/// Requests per second for the pool at this gateway, averaged over the window.
double request_rate(const resend_budget& budget, const resend_terms& terms, steady_time now);

/// Resends that this gateway may make within the window, those already made included.
double resends_granted(const resend_budget& budget, const resend_terms& terms,
                       std::uint32_t gateways, steady_time now);

/// Resends that this gateway may still make within the window.
double resends_left(const resend_budget& budget, const resend_terms& terms, std::uint32_t gateways,
                    steady_time now);

/// True if one more resend stays within this gateway's part of the budget.
bool resend_allowed(const resend_budget& budget, const resend_terms& terms, std::uint32_t gateways,
                    steady_time now);

}  // namespace chestnuthead::gateway
