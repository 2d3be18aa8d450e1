#include "Measure/rollout_endpoint.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace chestnuthead::measure {

namespace {

/// Spread of the times of plain calls and of the lengths of streams, as the standard deviation
/// of their logarithm.
constexpr double work_spread = 0.47;
constexpr double length_spread = 0.6;
/// Prefixes that an engine's cache holds.
constexpr std::size_t cached_prefixes = 60;
/// Part by which each further request slows down an engine's events.
constexpr double slowdown_per_request = 0.005;
/// Time of a plain answer that is an error.
constexpr double error_ms = 4.0;
/// Time until an engine's first event beside reading the prompt.
constexpr double first_event_ms = 6.0;

double draw_normal(random_source& random) {
  const double radius = std::sqrt(-2.0 * std::log(1.0 - next_unit(random)));
  return radius * std::cos(2.0 * std::numbers::pi * next_unit(random));
}

/// Draws from a log-normal distribution with this mean.
double draw_around(double mean, double spread, random_source& random) {
  return mean * std::exp(spread * draw_normal(random) - spread * spread / 2.0);
}

std::chrono::nanoseconds to_time(double ms) {
  constexpr double nanoseconds_per_ms = 1e6;
  return std::chrono::nanoseconds{static_cast<std::int64_t>(ms * nanoseconds_per_ms)};
}

/// Returns true if the prefix was cached; it is afterwards.
bool use_prefix(modelled_endpoint& row, std::uint64_t prefix) {
  const auto known = row.cache.find(prefix);
  if (known != row.cache.end()) {
    row.by_last_use.splice(row.by_last_use.begin(), row.by_last_use, known->second);
    return true;
  }
  row.by_last_use.push_front(prefix);
  row.cache[prefix] = row.by_last_use.begin();
  if (row.cache.size() > cached_prefixes) {
    row.cache.erase(row.by_last_use.back());
    row.by_last_use.pop_back();
  }
  return false;
}

modelled_answer answer_plain(modelled_endpoint& row, const service_setup& service,
                             const request_kind& kind, double factor, bool failed,
                             random_source& random, steady_time now) {
  row.slots_free.resize(service.slots);
  auto slot = std::min_element(row.slots_free.begin(), row.slots_free.end());
  const steady_time begins = std::max(now, *slot);
  const double work = failed ? error_ms : draw_around(kind.work_ms, work_spread, random) * factor;
  *slot = begins + to_time(work);
  modelled_answer answer;
  answer.first = *slot - now;
  return answer;
}

modelled_answer answer_stream(modelled_endpoint& row, const service_setup& service,
                              const request_kind& kind, std::uint64_t prefix, double factor,
                              random_source& random, steady_time now) {
  const bool cached = use_prefix(row, prefix);
  const double tokens =
      (cached ? 0.0 : kind.shared_tokens) + draw_around(kind.own_tokens, length_spread, random);
  row.read_until = std::max(now, row.read_until) + to_time(tokens / service.tokens_per_ms * factor);
  modelled_answer answer;
  answer.first = row.read_until - now + to_time(first_event_ms * factor);
  answer.events =
      std::max(1U, static_cast<std::uint32_t>(draw_around(kind.events, length_spread, random)));
  const double pace = service.pace_ms * (1.0 + slowdown_per_request * row.running) * factor;
  answer.events_time = to_time(pace * (answer.events - 1));
  return answer;
}

}  // namespace

modelled_answer answer_request(modelled_endpoint& row, const service_setup& service,
                               const request_kind& kind, std::uint64_t prefix,
                               const active_fault& fault, random_source& random, steady_time now) {
  const bool troubled = now < row.trouble_until;
  const bool fails_anyway =
      next_unit(random) < kind.failure_share || (troubled && next_unit(random) < row.failing);
  const bool fails_by_version = next_unit(random) < fault.failing;
  const bool failed = fails_anyway || fails_by_version;
  const double factor = fault.factor * (troubled ? row.slowness : 1.0);
  modelled_answer answer = kind.streams
                               ? answer_stream(row, service, kind, prefix, factor, random, now)
                               : answer_plain(row, service, kind, factor, failed, random, now);
  answer.failed = failed;
  answer.is_bad = fails_by_version || fault.factor > 1.0;
  if (failed && kind.streams) {
    answer.events_time = {};
  }
  return answer;
}

}  // namespace chestnuthead::measure
