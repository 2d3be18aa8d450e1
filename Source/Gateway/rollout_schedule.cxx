#include "Gateway/rollout_schedule.h"

#include <algorithm>
#include <cmath>

#include "Base/hashing.h"
#include "Gateway/endpoint_health.h"

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;
using seconds_real = std::chrono::duration<double>;

/// Parts of the allowed share and of the allowance that are used. Gateways that restart begin
/// to count anew, and their number is known with a delay.
constexpr double used_share = 0.9;
constexpr double used_allowance = 0.5;
/// Part of the exposure that the trial may use; the rest is for the shift.
constexpr double trial_part = 0.6;
/// Fewest new endpoints of a trial: one alone can't be told from its version.
constexpr std::size_t min_trial_endpoints = 2;
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
/// Shortest time over which the rate of requests is measured.
constexpr seconds_real min_rate_time{0.5};

bool is_new_and_usable(const endpoint& row, const std::string& version, steady_time now) {
  return row.listing.version == version && row.listed && !row.misplaced && !is_ejected(row, now) &&
         !row.listing.leaving;
}

std::uint64_t key_of_order(const rollout_order& order) {
  return hash_text(order.to, hash_text(order.pool.value));
}

/// What one gateway can foresee about its part of a roll-out.
struct forecast {
  /// Requests of this gateway per second.
  double rate = 0.0;
  /// Share of the requests until the deadline that the trial may use.
  double trial_share = 0.0;
};

forecast forecast_of(const rollout& row, const rollout_terms& terms, std::uint32_t gateways,
                     steady_time now) {
  const seconds_real elapsed = std::max<seconds_real>(now - begun_at(row), min_rate_time);
  const seconds_real duration = row.order->duration;
  forecast seen;
  seen.rate = static_cast<double>(row.sends) / elapsed.count();
  const double expected = std::max(seen.rate * duration.count(), 1.0);
  const double allowed = used_share * terms.exposure_share * expected +
                         used_allowance * terms.exposure_allowance / gateways;
  // After the outcome all requests go to the new version until the deadline.
  const double reserve = seen.rate * seconds_real(outcome_lead).count();
  seen.trial_share = std::max(0.0, trial_part * (allowed - reserve)) / expected;
  return seen;
}

/// Factor that evens out the routes' parts of the trial.
double route_weight(const rollout& row, std::uint64_t route) {
  const auto place = row.routes.find(route);
  if (place == row.routes.end() || row.sends == 0) {
    return 1.0;
  }
  const double mean = static_cast<double>(row.sends) / static_cast<double>(row.routes.size());
  const double own = static_cast<double>(std::max<std::uint64_t>(place->second.requests, 1));
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

/// Decides whether a request is part of the trial. `parity` is the share of requests with which
/// the trial's endpoints carry as much load as an old endpoint.
bool draw_trial(const rollout& row, double share, double parity, random_source& random,
                steady_time now) {
  if (share >= parity) {
    return next_unit(random) < share;
  }
  return is_in_pulse(row, share / parity, now) && next_unit(random) < parity;
}

/// True if the request belongs to the shift: the route's turn has come, and the exposure lasts
/// for the requests until the outcome.
bool is_shifted(const rollout& row, const route& route, double left, double rate, steady_time now) {
  const seconds_real time_left = deadline_of(row) - outcome_lead - now;
  if (time_left > seconds_real(shift_lead(route))) {
    return false;
  }
  double part = 1.0;
  const auto place = row.routes.find(hash_text(route.name));
  if (place != row.routes.end() && row.sends > 0) {
    part = static_cast<double>(place->second.requests) / static_cast<double>(row.sends);
  }
  return left >= rate * part * std::max(time_left.count(), 0.0);
}

double count_old(const std::vector<endpoint*>& endpoints, const version_scope& scope) {
  return static_cast<double>(std::count_if(
      endpoints.begin(), endpoints.end(),
      [&scope](const endpoint* row) { return row->listed && in_scope(*row, scope); }));
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
                                           const std::vector<endpoint*>& endpoints, double share) {
  std::vector<std::uint64_t> hashes;
  double old_endpoints = 0.0;
  for (const endpoint* one : endpoints) {
    if (one->listed && one->listing.version == row.order->to) {
      hashes.push_back(one->hash);
    } else if (one->listed) {
      old_endpoints += 1.0;
    }
  }
  const std::uint64_t key = key_of_order(*row.order);
  std::sort(hashes.begin(), hashes.end(), [key](std::uint64_t one, std::uint64_t other) {
    return rendezvous_weight(key, one) > rendezvous_weight(key, other);
  });
  const auto wanted = static_cast<std::size_t>(std::lround(share * old_endpoints));
  hashes.resize(std::min(hashes.size(), std::max(wanted, min_trial_endpoints)));
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

chosen_scope choose_scope(const rollout_table& table, const std::vector<endpoint*>& endpoints,
                          const pool& pool, const route& route, const rollout_terms& terms,
                          std::uint32_t gateways, random_source& random, steady_time now) {
  chosen_scope chosen{settled_scope(table, pool.name), version_choice::settled};
  const auto place = table.rows.find(pool.name);
  if (place == table.rows.end()) {
    return chosen;
  }
  const rollout& row = place->second;
  if (!is_in_progress(row) || row.found_bad || !table.records_known || now >= deadline_of(row)) {
    return chosen;
  }
  const double left = exposure_left(row, terms, gateways);
  const bool has_new = std::any_of(endpoints.begin(), endpoints.end(), [&](const endpoint* one) {
    return is_new_and_usable(*one, row.order->to, now);
  });
  if (left < 1.0 || !has_new) {
    return chosen;
  }
  const forecast seen = forecast_of(row, terms, std::max(gateways, 1U), now);
  if (is_shifted(row, route, left, seen.rate, now)) {
    return {new_version_scope(*row.order), version_choice::shift};
  }
  const double old_endpoints = std::max(count_old(endpoints, chosen.scope), 1.0);
  version_scope trial = new_version_scope(*row.order);
  trial.only = trial_endpoints(row, endpoints, seen.trial_share);
  const double parity = static_cast<double>(trial.only.size()) / old_endpoints;
  const double share = seen.trial_share * route_weight(row, hash_text(route.name));
  if (may_be_tried(row, route, now) && draw_trial(row, share, parity, random, now)) {
    chosen.scope = std::move(trial);
    chosen.choice = version_choice::trial;
  }
  return chosen;
}

void count_send(rollout_table& table, const endpoint& row, const route& route) {
  const auto place = table.rows.find(row.listing.pool);
  if (place == table.rows.end() || !is_in_progress(place->second)) {
    return;
  }
  rollout& found = place->second;
  const bool is_new = row.listing.version == found.order->to;
  route_share& share = found.routes[hash_text(route.name)];
  ++found.sends;
  ++share.requests;
  if (is_new) {
    ++found.sends_to_new;
    ++share.to_new;
  }
}

}  // namespace chestnuthead::gateway
