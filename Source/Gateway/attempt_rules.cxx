#include "Gateway/attempt_rules.h"

#include <algorithm>

#include "Gateway/endpoint_health.h"

namespace chestnuthead::gateway {

namespace {

/// Share of the fleet's budget that is used. The margin keeps the sum over all gateways
/// within the budget although their windows are not aligned.
constexpr double budget_used = 0.6;

/// Time without a byte of the answer after which a request with a prompt is sent to
/// another endpoint, as a multiple of the route's latency objective.
constexpr int silence_objectives = 3;
/// The same limit within a stream, as a multiple of the route's pause objective.
constexpr int silence_pauses = 4;
/// Lower bound of this limit for a call without a prompt. Otherwise the limit is the
/// route's latency objective, which good answers meet.
constexpr std::chrono::milliseconds shortest_plain_silence{200};

std::int64_t second_of(steady_time now) {
  return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

resend_budget::second_count& this_second(resend_budget& budget, const resend_terms& terms,
                                         steady_time now) {
  const std::int64_t second = second_of(now);
  while (!budget.seconds.empty() && budget.seconds.front().second < second - terms.window.count()) {
    budget.seconds.pop_front();
  }
  if (budget.seconds.empty() || budget.seconds.back().second != second) {
    budget.seconds.push_back({second, 0, 0});
  }
  return budget.seconds.back();
}

/// Requests and resends within the window. Resends count for one more second: otherwise those of
/// the end of one second and those of the start of the tenth after it, which lie less than a window
/// apart, could each use up the allowance.
resend_budget::second_count sum_of_window(const resend_budget& budget, const resend_terms& terms,
                                          steady_time now) {
  const std::int64_t oldest = second_of(now) - terms.window.count();
  resend_budget::second_count sum;
  for (const resend_budget::second_count& count : budget.seconds) {
    sum.requests += count.second > oldest ? count.requests : 0;
    sum.resends += count.second >= oldest ? count.resends : 0;
  }
  return sum;
}

next_step give_up(const attempt_history& history, attempt_end end) {
  if (history.answer_begun) {
    return next_step::cut;
  }
  if (end == attempt_end::error_answer) {
    return next_step::pass_error;
  }
  return history.executions == 0 ? next_step::refuse : next_step::report_failure;
}

}  // namespace

std::string_view name_of(resend_obstacle obstacle) {
  switch (obstacle) {
    case resend_obstacle::none:
      return "none";
    case resend_obstacle::sends_used:
      return "sends_used";
    case resend_obstacle::executions_used:
      return "executions_used";
    case resend_obstacle::not_repeatable:
      return "not_repeatable";
    case resend_obstacle::not_resumable:
      return "not_resumable";
    case resend_obstacle::no_budget:
      return "no_budget";
    case resend_obstacle::no_endpoint:
      return "no_endpoint";
    case resend_obstacle::pool_short:
      return "pool_short";
  }
  return "unknown";
}

resend_obstacle obstacle_to_resend(const route& route, const attempt_history& history,
                                   bool budget_left) {
  if (history.executions > 0 && route.executions != execution_limit::idempotent) {
    return resend_obstacle::not_repeatable;
  }
  if (history.answer_begun && !route.resumable) {
    return resend_obstacle::not_resumable;
  }
  if (history.executions > 0 && history.executions >= route.max_attempts) {
    return resend_obstacle::executions_used;
  }
  if (history.sends >= route.max_attempts + sends_for_rejections) {
    return resend_obstacle::sends_used;
  }
  return budget_left ? resend_obstacle::none : resend_obstacle::no_budget;
}

next_step after_attempt(resend_obstacle obstacle, const attempt_history& history, attempt_end end) {
  return obstacle == resend_obstacle::none ? next_step::try_another : give_up(history, end);
}

std::chrono::milliseconds silence_limit(const route& route, bool has_prompt, bool answer_begun) {
  if (answer_begun) {
    return std::max(min_silence, silence_pauses * route.pause_objective);
  }
  return has_prompt ? std::max(min_silence, silence_objectives * route.latency_objective)
                    : std::max(shortest_plain_silence, route.latency_objective);
}

void count_request(resend_budget& budget, const resend_terms& terms, steady_time now) {
  ++this_second(budget, terms, now).requests;
}

void count_resend(resend_budget& budget, const resend_terms& terms, steady_time now) {
  ++this_second(budget, terms, now).resends;
}

double request_rate(const resend_budget& budget, const resend_terms& terms, steady_time now) {
  const std::uint32_t requests = sum_of_window(budget, terms, now).requests;
  return requests / static_cast<double>(terms.window.count());
}

double resends_granted(const resend_budget& budget, const resend_terms& terms,
                       std::uint32_t gateways, steady_time now) {
  const double part = terms.allowance / std::max<std::uint32_t>(gateways, 1);
  return budget_used * (terms.share * sum_of_window(budget, terms, now).requests + part);
}

double resends_left(const resend_budget& budget, const resend_terms& terms, std::uint32_t gateways,
                    steady_time now) {
  return resends_granted(budget, terms, gateways, now) - sum_of_window(budget, terms, now).resends;
}

bool resend_allowed(const resend_budget& budget, const resend_terms& terms, std::uint32_t gateways,
                    steady_time now) {
  return resends_left(budget, terms, gateways, now) >= 1.0;
}

}  // namespace chestnuthead::gateway
