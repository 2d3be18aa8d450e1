#include "Gateway/extra_tries.h"

#include <algorithm>
#include <cmath>

namespace chestnuthead::gateway {

namespace {

using seconds_value = std::chrono::duration<double>;

/// Upper bound of the first bucket.
constexpr seconds_value first_bound{0.001};
/// Buckets in which the bound doubles: a bound is 19% above the one before it.
constexpr double buckets_a_doubling = 4.0;

/// The quantile stays within these bounds. Below the lower one, requests that take an ordinary
/// time would be hedged; above the upper one, it would rest on single samples.
constexpr double lowest_quantile = 0.90;
constexpr double highest_quantile = 0.99;

/// Share of the resend budget that hedged requests leave to resends of failed requests.
constexpr double budget_kept = 0.5;

/// Time between two searches for kinds that have expired.
constexpr std::chrono::minutes search_pause{1};

std::size_t bucket_of(seconds_value wait) {
  if (wait <= first_bound) {
    return 0;
  }
  const double place = std::ceil(buckets_a_doubling * std::log2(wait / first_bound));
  return static_cast<std::size_t>(std::min(place, static_cast<double>(wait_buckets - 1)));
}

/// Upper bound of a bucket; the last one is open, and its bound is the shortest time in it.
seconds_value bound_of(std::size_t bucket) {
  return first_bound * std::exp2(static_cast<double>(bucket) / buckets_a_doubling);
}

void drop_expired(extra_tries& tries, steady_time now) {
  if (now - tries.searched_at < search_pause) {
    return;
  }
  tries.searched_at = now;
  std::erase_if(tries.waits,
                [now](const auto& entry) { return now - entry.second.latest > kind_lifetime; });
}

/// True if half of the resend budget is left after one more resend.
bool leaves_budget(const hedge_budget& resends, steady_time now) {
  const double granted = resends_granted(resends.budget, resends.terms, resends.gateways, now);
  const double left = resends_left(resends.budget, resends.terms, resends.gateways, now);
  return left - 1.0 >= budget_kept * granted;
}

}  // namespace

void add_wait(wait_distribution& waits, seconds_value wait, steady_time now) {
  constexpr float fading = 0.5F;
  if (waits.total >= max_wait_weight) {
    for (float& weight : waits.weights) {
      weight *= fading;
    }
    waits.total *= fading;
  }
  waits.weights.at(bucket_of(wait)) += 1.0F;
  waits.total += 1.0F;
  waits.latest = now;
}

std::optional<seconds_value> wait_quantile(const wait_distribution& waits, double share) {
  if (waits.total < min_wait_weight) {
    return std::nullopt;
  }
  const double wanted = share * waits.total;
  double below = 0.0;
  for (std::size_t bucket = 0; bucket < wait_buckets; ++bucket) {
    const double weight = waits.weights.at(bucket);
    if (weight > 0.0 && below + weight >= wanted) {
      const seconds_value low = bucket == 0 ? seconds_value{0} : bound_of(bucket - 1);
      return low + (bound_of(bucket) - low) * ((wanted - below) / weight);
    }
    below += weight;
  }
  // Rounding errors of the sum.
  return bound_of(wait_buckets - 1);
}

void record_wait(extra_tries& tries, const request_kind& kind, seconds_value wait,
                 steady_time now) {
  if (tries.share <= 0.0) {
    return;
  }
  auto place = tries.waits.find(kind);
  if (place == tries.waits.end()) {
    if (tries.waits.size() >= max_kinds) {
      drop_expired(tries, now);
    }
    if (tries.waits.size() >= max_kinds) {
      return;
    }
    place = tries.waits.emplace(kind, wait_distribution{}).first;
  }
  add_wait(place->second, wait, now);
}

double hedge_quantile(double share) {
  return std::clamp(1.0 - share, lowest_quantile, highest_quantile);
}

std::optional<steady_time> hedge_due(const extra_tries& tries, const request_kind& kind,
                                     const hedge_times& times) {
  using steady_duration = steady_time::duration;
  std::optional<steady_time> due;
  const auto place = tries.waits.find(kind);
  if (place != tries.waits.end()) {
    if (const auto usual = wait_quantile(place->second, hedge_quantile(tries.share))) {
      due = times.sent_at + std::chrono::duration_cast<steady_duration>(*usual);
    }
  }
  if (times.latency_objective.count() > 0) {
    const steady_time half_left = times.arrived_at + times.latency_objective / 2;
    due = std::min(due.value_or(half_left), half_left);
  }
  if (due) {
    due = std::max(*due, times.sent_at + min_hedge_wait);
  }
  return due;
}

std::string_view name_of(hedge_obstacle obstacle) {
  switch (obstacle) {
    case hedge_obstacle::none:
      return "none";
    case hedge_obstacle::switched_off:
      return "switched_off";
    case hedge_obstacle::not_repeatable:
      return "not_repeatable";
    case hedge_obstacle::answer_begun:
      return "answer_begun";
    case hedge_obstacle::resumption:
      return "resumption";
    case hedge_obstacle::executions_used:
      return "executions_used";
    case hedge_obstacle::sends_used:
      return "sends_used";
    case hedge_obstacle::stopping:
      return "stopping";
    case hedge_obstacle::pool_short:
      return "pool_short";
    case hedge_obstacle::budget_low:
      return "budget_low";
    case hedge_obstacle::share_used:
      return "share_used";
    case hedge_obstacle::no_endpoint:
      return "no_endpoint";
  }
  return "unknown";
}

bool may_be_hedged(const route& route) {
  return route.executions == execution_limit::idempotent && route.max_attempts > 1;
}

void count_repeatable(extra_tries& tries, const pool_id& pool) {
  if (tries.share <= 0.0) {
    return;
  }
  double& tokens = tries.tokens[pool];
  tokens = std::min(tokens + tries.share, max_hedge_tokens);
}

hedge_obstacle obstacle_to_hedge(const extra_tries& tries, const hedge_candidate& candidate,
                                 const hedge_budget& resends, steady_time now) {
  const route& taken = candidate.taken_route;
  if (tries.share <= 0.0) {
    return hedge_obstacle::switched_off;
  }
  if (taken.executions != execution_limit::idempotent) {
    return hedge_obstacle::not_repeatable;
  }
  if (candidate.history.answer_begun) {
    return hedge_obstacle::answer_begun;
  }
  if (candidate.is_resumption) {
    return hedge_obstacle::resumption;
  }
  if (candidate.history.executions >= taken.max_attempts) {
    return hedge_obstacle::executions_used;
  }
  if (candidate.history.sends >= taken.max_attempts + sends_for_rejections) {
    return hedge_obstacle::sends_used;
  }
  if (candidate.stopping) {
    return hedge_obstacle::stopping;
  }
  if (candidate.pool_short) {
    return hedge_obstacle::pool_short;
  }
  if (!leaves_budget(resends, now)) {
    return hedge_obstacle::budget_low;
  }
  const auto tokens = tries.tokens.find(candidate.pool);
  const bool has_token = tokens != tries.tokens.end() && tokens->second >= 1.0;
  return has_token ? hedge_obstacle::none : hedge_obstacle::share_used;
}

void count_hedge(extra_tries& tries, const pool_id& pool) {
  tries.tokens[pool] -= 1.0;
}

void return_hedge(extra_tries& tries, const pool_id& pool) {
  double& tokens = tries.tokens[pool];
  tokens = std::min(tokens + 1.0, max_hedge_tokens);
}

}  // namespace chestnuthead::gateway
