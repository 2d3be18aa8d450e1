#include "Gateway/rollout_schedule.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "Base/exponential_decay.h"
#include "Base/hashing.h"
#include "Gateway/endpoint_health.h"

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;
using seconds_real = std::chrono::duration<double>;

/// Parts of the allowed share and of the allowance that are used. Gateways that restart begin
/// to count anew, and their number is known with a delay.
constexpr double used_share = 0.92;
constexpr double used_allowance = 0.5;
/// Part of the exposure that the trial may use; the rest is for the shift.
constexpr double trial_part = 0.75;
/// Fewest new endpoints of a trial: the faults of a few must be told from their version's.
constexpr std::size_t min_trial_endpoints = 4;
/// Time between the pulses of a trial whose endpoints would get too few requests otherwise.
constexpr milliseconds pulse_period{2'000};
/// Bounds of the factor by which a route's part of the trial differs from its part of the
/// traffic, so that routes with few requests are tried too.
constexpr double min_route_weight = 0.5;
constexpr double max_route_weight = 4.0;
/// Part of the duration before the trial of requests that may be executed only once, if others
/// can be tried before, and at the latest.
constexpr double once_only_delay = 0.15;
constexpr double once_only_latest = 0.4;
/// Answers of other requests after which these join the trial.
constexpr std::uint64_t answers_before_once_only = 20;
/// How much earlier the order's start may be assumed than it was.
constexpr milliseconds order_time_error{250};
/// Half-life of `rollout::recent_sends`.
constexpr seconds_real recent_sends_half_life{1.0};
/// Shortest time over which the rate of requests is measured.
constexpr seconds_real min_rate_time{0.5};

bool is_usable(const endpoint& row, steady_time now) {
  return !row.misplaced && !is_ejected(row, now) && !row.listing.leaving;
}

std::uint64_t key_of_order(const rollout_order& order) {
  return hash_text(order.to, hash_text(order.pool.value));
}

/// What one gateway can foresee about its part of a roll-out.
struct forecast {
  /// Requests of this gateway per second.
  double rate = 0.0;
  /// Requests from the outcome to the deadline, all of which go to the new version.
  double reserve = 0.0;
  /// Share of the requests until the deadline that the trial may use.
  double trial_share = 0.0;
};

/// Requests per second over the last few seconds.
double recent_rate(const rollout& row, steady_time now) {
  const double mean_time = recent_sends_half_life.count() / std::numbers::ln2;
  return decayed(row.recent_sends, row.recent_sends_at, recent_sends_half_life, now) / mean_time;
}

forecast forecast_of(const rollout& row, const rollout_terms& terms, std::uint32_t gateways,
                     steady_time now) {
  const seconds_real elapsed = std::max<seconds_real>(now - begun_at(row), min_rate_time);
  const seconds_real duration = row.order->duration;
  forecast seen;
  const double mean_rate = static_cast<double>(row.sends) / elapsed.count();
  seen.rate = std::max(mean_rate, recent_rate(row, now));
  const double expected = std::max(mean_rate * duration.count(), 1.0);
  const double allowed = used_share * terms.exposure_share * expected +
                         used_allowance * terms.exposure_allowance / gateways;
  seen.reserve = (1.0 - terms.exposure_share) * seen.rate *
                 seconds_real(outcome_lead + order_time_error).count();
  seen.trial_share = std::max(0.0, trial_part * (allowed - seen.reserve)) / expected;
  return seen;
}

/// Factor that evens out the routes' parts of the trial.
double route_weight(const rollout& row, std::uint64_t route) {
  const auto place = row.sends_by_route.find(route);
  if (place == row.sends_by_route.end()) {
    return 1.0;
  }
  const double mean =
      static_cast<double>(row.sends) / static_cast<double>(row.sends_by_route.size());
  const auto own = static_cast<double>(place->second);
  return std::clamp(mean / own, min_route_weight, max_route_weight);
}

bool may_be_tried(const rollout& row, const route& route, steady_time now) {
  if (route.executions == execution_limit::idempotent) {
    return true;
  }
  const seconds_real elapsed = now - begun_at(row);
  const double part = elapsed / seconds_real(row.order->duration);
  std::uint64_t answers = 0;
  for (const auto& [key, counts] : row.total) {
    answers += key.endpoint == 0 ? 0 : counts.answers;
  }
  return part >= once_only_latest ||
         (part >= once_only_delay && answers >= answers_before_once_only);
}

/// True during a trial's pulses, which all gateways begin together.
bool is_in_pulse(const rollout& row, double duty, steady_time now) {
  const auto elapsed = std::chrono::duration_cast<milliseconds>(now - begun_at(row));
  const double part =
      static_cast<double>(elapsed.count() % pulse_period.count()) / pulse_period.count();
  return part < duty;
}

/// A number in [0, 1): the same for all requests with a prefix, random without one.
double draw_unit(const rollout& row, std::uint64_t prefix, random_source& random) {
  constexpr double two_to_minus_64 = 0x1.0p-64;
  if (prefix == 0) {
    return next_unit(random);
  }
  return static_cast<double>(rendezvous_weight(prefix, key_of_order(*row.order))) * two_to_minus_64;
}

/// Decides whether a request is part of the trial. `parity` is the share of requests with which
/// the trial's endpoints carry as much load as an old endpoint.
bool is_in_trial(const rollout& row, double share, double parity, double unit, steady_time now) {
  if (share >= parity) {
    return unit < share;
  }
  return is_in_pulse(row, share / parity, now) && unit < parity;
}

/// True if the request belongs to the shift: the route's turn has come, and the exposure lasts
/// for the requests until the outcome.
bool is_shifted(const rollout& row, const route& route, double left, const forecast& seen,
                steady_time now) {
  const seconds_real time_left = deadline_of(row) - outcome_lead - now;
  if (time_left > seconds_real(shift_lead(route))) {
    return false;
  }
  double part = 1.0;
  const auto place = row.sends_by_route.find(hash_text(route.name));
  if (place != row.sends_by_route.end()) {
    part = static_cast<double>(place->second) / static_cast<double>(row.sends);
  }
  return left >= seen.reserve + seen.rate * part * std::max(time_left.count(), 0.0);
}

/// Listed endpoints of both versions.
struct version_counts {
  double old_endpoints = 0.0;
  std::size_t new_endpoints = 0;
  /// A new endpoint is known to work.
  bool has_usable = false;
};

version_counts count_versions(const rollout& row, const std::vector<endpoint*>& endpoints,
                              steady_time now) {
  version_counts counts;
  for (const endpoint* one : endpoints) {
    if (!one->listed) {
      continue;
    }
    if (one->listing.version != row.order->to) {
      counts.old_endpoints += 1.0;
      continue;
    }
    ++counts.new_endpoints;
    counts.has_usable = counts.has_usable || is_usable(*one, now);
  }
  return counts;
}

/// Number of new endpoints that the trial uses.
std::size_t trial_size(const version_counts& counts, double trial_share) {
  const auto wanted = static_cast<std::size_t>(std::lround(trial_share * counts.old_endpoints));
  return std::min(counts.new_endpoints, std::max(wanted, min_trial_endpoints));
}

}  // namespace

std::string_view name_of(version_choice choice) {
  switch (choice) {
    case version_choice::trial:
      return "trial";
    case version_choice::shift:
      return "shift";
    case version_choice::settled:
      break;
  }
  return "settled";
}

double exposure_left(const rollout& row, const rollout_terms& terms, std::uint32_t gateways) {
  const double allowed = used_share * terms.exposure_share * static_cast<double>(row.sends) +
                         used_allowance * terms.exposure_allowance / std::max(gateways, 1U);
  return allowed - static_cast<double>(row.sends_to_new);
}

std::vector<std::uint64_t> trial_endpoints(const rollout& row,
                                           const std::vector<endpoint*>& endpoints,
                                           std::size_t count) {
  std::vector<std::uint64_t> hashes;
  for (const endpoint* one : endpoints) {
    if (one->listed && one->listing.version == row.order->to) {
      hashes.push_back(one->hash);
    }
  }
  const std::uint64_t key = key_of_order(*row.order);
  std::sort(hashes.begin(), hashes.end(), [key](std::uint64_t one, std::uint64_t other) {
    return rendezvous_weight(key, one) > rendezvous_weight(key, other);
  });
  hashes.resize(std::min(hashes.size(), count));
  return hashes;
}

milliseconds shift_lead(const route& route) {
  constexpr milliseconds long_stream{5'000};
  constexpr milliseconds resumable_stream{500};
  constexpr milliseconds once_only_call{1'000};
  constexpr milliseconds idempotent_call{300};
  if (route.streams) {
    return route.resumable ? resumable_stream : long_stream;
  }
  return route.executions == execution_limit::idempotent ? idempotent_call : once_only_call;
}

chosen_scope choose_scope(const rollout_table& table, const scope_request& request,
                          const rollout_terms& terms, random_source& random, steady_time now) {
  chosen_scope chosen{settled_scope(table, request.target.name), version_choice::settled};
  const auto place = table.rows.find(request.target.name);
  if (place == table.rows.end()) {
    return chosen;
  }
  const rollout& row = place->second;
  if (!is_in_progress(row) || row.found_bad || !table.records_known || now >= deadline_of(row)) {
    return chosen;
  }
  const double left = exposure_left(row, terms, request.gateways);
  const version_counts counts = count_versions(row, request.endpoints, now);
  if (left < 1.0 || !counts.has_usable) {
    return chosen;
  }
  const forecast seen = forecast_of(row, terms, std::max(request.gateways, 1U), now);
  const route& route = request.taken_route;
  if (is_shifted(row, route, left, seen, now)) {
    return {new_version_scope(*row.order), version_choice::shift};
  }
  const std::size_t size = trial_size(counts, seen.trial_share);
  const double parity = static_cast<double>(size) / std::max(counts.old_endpoints, 1.0);
  const double share = seen.trial_share * route_weight(row, hash_text(route.name));
  const double unit = draw_unit(row, request.prefix, random);
  if (may_be_tried(row, route, now) && is_in_trial(row, share, parity, unit, now)) {
    chosen.scope = new_version_scope(*row.order);
    chosen.scope.only = trial_endpoints(row, request.endpoints, size);
    chosen.choice = version_choice::trial;
  }
  return chosen;
}

version_scope scope_of_stream(const rollout_table& table, const scope_request& request,
                              const rollout_terms& terms, const std::string& version,
                              steady_time now) {
  version_scope scope = settled_scope(table, request.target.name);
  const auto place = table.rows.find(request.target.name);
  if (place != table.rows.end() && is_in_progress(place->second)) {
    const rollout& row = place->second;
    const bool may_try = !row.found_bad && table.records_known && now < deadline_of(row) &&
                         exposure_left(row, terms, request.gateways) >= 1.0;
    if (version == row.order->to && may_try) {
      scope = new_version_scope(*row.order);
    }
  }
  scope.begun_at = version;
  return scope;
}

void count_send(rollout_table& table, const endpoint& row, const route& route, steady_time now) {
  const auto place = table.rows.find(row.listing.pool);
  if (place == table.rows.end() || !is_in_progress(place->second)) {
    return;
  }
  rollout& found = place->second;
  ++found.sends;
  ++found.sends_by_route[hash_text(route.name)];
  found.recent_sends =
      decayed(found.recent_sends, found.recent_sends_at, recent_sends_half_life, now) + 1.0;
  found.recent_sends_at = now;
  found.sends_to_new += row.listing.version == found.order->to ? 1 : 0;
}

}  // namespace chestnuthead::gateway
