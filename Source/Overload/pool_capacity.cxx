#include "Overload/pool_capacity.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "Base/exponential_decay.h"

namespace chestnuthead::overload {

namespace {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

/// Results are judged over this time, or over `results_judged` results if these go further back.
constexpr milliseconds judged_time{200};
constexpr std::size_t results_judged = 16;
/// Upper bound of the results kept for one pool.
constexpr std::size_t max_results = 512;
/// Share of bad results from which on the pool is short of capacity, and share of the used
/// endpoints on which they must have occurred.
constexpr double shortage_share = 0.1;
constexpr double endpoints_share = 0.25;
/// Fewest bad results that show a shortage: a single late answer may have other causes.
constexpr std::size_t min_bad_results = 2;
/// Results that must be known if all are of one endpoint, which may be the only slow one.
constexpr std::size_t results_of_one = 8;
constexpr double limit_cut = 0.8;
constexpr double ratio_cut = 0.94;
constexpr double min_ratio = 0.25;
/// The highest load at which endpoints are used without overload control.
constexpr double max_ratio = 4.0;
/// Growth in the time that an answer takes, while the limit or the bound is reached.
constexpr double limit_growth = 0.05;
/// Growth while more than this share of the endpoints' load bounds is free.
constexpr double idle_after_surge = 0.3;
constexpr double recovery_growth = 0.5;
constexpr double ratio_growth = 0.02;
/// How long a limit or bound counts as reached after a request found no room.
constexpr milliseconds reached_for{250};
/// A limit that was not reached for this time is removed.
constexpr std::chrono::seconds unused_limit_lifetime{3};
/// How long a pool counts as short after late answers or a request without room.
constexpr milliseconds short_after_late{1'000};
constexpr milliseconds short_after_no_room{1'500};
/// Bounds of the time between two changes of a limit: before the requests sent since the last one
/// have been answered, results tell nothing about it.
constexpr milliseconds min_change_interval{100};
constexpr milliseconds max_change_interval{1'000};
/// The same for growth: several steps in the time of an answer, as the load bounds of the endpoints
/// hold besides, and a limit that a surge has left behind must not outlast it.
constexpr milliseconds min_growth_interval{50};
constexpr milliseconds max_growth_interval{250};
constexpr seconds completions_half_life{1.0};
/// Weight of the newest value in averages over requests.
constexpr double average_step = 0.05;
/// Half-life of a report about a VM's speed, which changes many times a second.
constexpr seconds report_half_life{0.2};

double average(double old, double value) {
  return old == 0.0 ? value : old + average_step * (value - old);
}

milliseconds growth_interval(const pool_capacity& capacity) {
  constexpr int part = 4;
  const auto taken = std::chrono::duration_cast<milliseconds>(capacity.answer_time);
  return std::clamp(taken / part, min_growth_interval, max_growth_interval);
}

milliseconds change_interval(const pool_capacity& capacity) {
  const auto taken = std::chrono::duration_cast<milliseconds>(capacity.answer_time);
  return std::clamp(taken, min_change_interval, max_change_interval);
}

void drop_old_results(pool_capacity& capacity, steady_time now) {
  std::deque<capacity_result>& results = capacity.results;
  while (results.size() > results_judged &&
         (now - results.front().at > judged_time || results.size() > max_results)) {
    results.pop_front();
  }
}

bool shows_shortage(const pool_capacity& capacity) {
  std::set<std::uint64_t> used;
  std::set<std::uint64_t> bad;
  std::size_t bad_results = 0;
  for (const capacity_result& result : capacity.results) {
    used.insert(result.endpoint);
    if (!result.is_good) {
      ++bad_results;
      bad.insert(result.endpoint);
    }
  }
  const auto results = static_cast<double>(capacity.results.size());
  return bad_results >= min_bad_results &&
         static_cast<double>(bad_results) > shortage_share * results &&
         static_cast<double>(bad.size()) >= endpoints_share * static_cast<double>(used.size()) &&
         (bad.size() > 1 || (used.size() == 1 && capacity.results.size() >= results_of_one));
}

void reduce(pool_capacity& capacity, steady_time now) {
  capacity.short_until = std::max(capacity.short_until, now + short_after_late);
  if (now - capacity.reduced_at < change_interval(capacity)) {
    return;
  }
  capacity.reduced_at = now;
  const double cut = std::max(1.0, limit_cut * capacity.in_flight);
  capacity.limit = std::min(capacity.limit.value_or(cut), cut);
  capacity.ratio = std::max(min_ratio, ratio_cut * capacity.ratio);
  // Later reductions must follow from requests sent under the reduced limit.
  capacity.results.clear();
}

void grow(pool_capacity& capacity, steady_time now) {
  if (now - capacity.grown_at < growth_interval(capacity) ||
      now - capacity.reduced_at < change_interval(capacity)) {
    return;
  }
  capacity.grown_at = now;
  if (capacity.limit && now - capacity.limit_reached_at < reached_for) {
    const double growth = capacity.idle_share > idle_after_surge ? recovery_growth : limit_growth;
    *capacity.limit += std::max(1.0, growth * *capacity.limit);
  }
  if (now - capacity.bound_reached_at < reached_for) {
    capacity.ratio = std::min(max_ratio, capacity.ratio + ratio_growth);
  }
}

/// Requests that a limit leaves to more urgent ones.
double reserved(double limit, double share) {
  // A reserve of one request would be a large part of a small limit.
  constexpr double smallest_divided = 5.0;
  return share > 0.0 && limit >= smallest_divided ? std::max(1.0, share * limit) : 0.0;
}

}  // namespace

double initial_ratio(bool is_engine) {
  constexpr double engine_ratio = 1.0;
  constexpr double plain_ratio = 2.0;
  return is_engine ? engine_ratio : plain_ratio;
}

void renew_start_limit(pool_capacity& capacity, const pool_room& room,
                       std::chrono::milliseconds interval, steady_time now) {
  // Slightly more than the share, so that callers may move between gateways. With twice the share,
  // the first wave of a surge of 48 times the usual traffic kept an eighth of the answers late.
  constexpr double multiple = 1.2;
  constexpr double min_addition = 5.0;
  const double bound = room.room + room.load;
  capacity.even_load = room.load / std::max<std::uint32_t>(room.gateways, 1);
  capacity.idle_share = bound > 0.0 ? room.room / bound : 0.0;
  if (now < capacity.start_limit_until) {
    return;
  }
  const double even = 1.0 / std::max<std::uint32_t>(room.gateways, 1);
  const double share = room.load > 0.0 ? std::max(even, room.own / room.load) : even;
  capacity.start_limit = capacity.in_flight + std::max(min_addition, multiple * share * room.room);
  capacity.start_limit_until = now + interval;
}

bool is_below_start_limit(const pool_capacity& capacity, double reserve) {
  return capacity.in_flight < capacity.start_limit - reserved(capacity.start_limit, reserve);
}

void note_start(pool_capacity& capacity, std::uint32_t tokens) {
  ++capacity.in_flight;
  if (tokens > 0) {
    capacity.tokens_per_request = average(capacity.tokens_per_request, tokens);
  }
}

void note_end(pool_capacity& capacity, std::chrono::duration<double> taken, steady_time now) {
  capacity.in_flight -= std::min<std::uint32_t>(capacity.in_flight, 1);
  capacity.answer_time = seconds{average(capacity.answer_time.count(), taken.count())};
  if (capacity.ended_at == steady_time{}) {
    capacity.ended_at = now;
  }
  const seconds elapsed = now - capacity.ended_at;
  capacity.ended = decayed(capacity.ended, capacity.ended_at, completions_half_life, now) + 1.0;
  capacity.counted_for =
      decayed(capacity.counted_for, capacity.ended_at, completions_half_life, now) +
      std::min(elapsed, 2.0 * completions_half_life).count();
  capacity.ended_at = now;
}

void note_sign(pool_capacity& capacity, std::uint64_t endpoint, capacity_sign sign,
               steady_time now) {
  const bool is_good = sign == capacity_sign::in_time;
  capacity.results.push_back({now, endpoint, is_good});
  drop_old_results(capacity, now);
  if (!is_good && shows_shortage(capacity)) {
    reduce(capacity, now);
  } else if (is_good && !shows_shortage(capacity)) {
    grow(capacity, now);
  }
}

void note_no_room(pool_capacity& capacity, no_room why, steady_time now) {
  capacity.short_until = std::max(capacity.short_until, now + short_after_no_room);
  if (why == no_room::limit_reached) {
    capacity.limit_reached_at = now;
    if (capacity.idle_share > idle_after_surge) {
      // After a surge few answers arrive that could raise the limit.
      grow(capacity, now);
    }
  } else if (why == no_room::endpoints_full) {
    capacity.bound_reached_at = now;
    if (!capacity.limit) {
      // All gateways see the same room in the endpoints as soon as some appears. With a limit
      // each replaces only its own requests that have ended.
      capacity.limit = std::max(1.0, static_cast<double>(capacity.in_flight));
      capacity.limit_reached_at = now;
    }
  }
}

void drop_unused_limit(pool_capacity& capacity, steady_time now) {
  const steady_time last = std::max(capacity.limit_reached_at, capacity.reduced_at);
  if (capacity.limit && now - last >= unused_limit_lifetime) {
    capacity.limit.reset();
  }
}

bool is_below_limit(const pool_capacity& capacity, double reserve) {
  return !capacity.limit ||
         capacity.in_flight < *capacity.limit - reserved(*capacity.limit, reserve);
}

double ratio_for(const pool_capacity& capacity, double reserve) {
  return (1.0 - reserve) * capacity.ratio;
}

bool is_filled(const pool_capacity& capacity) {
  return capacity.idle_share <= idle_after_surge;
}

bool is_short(const pool_capacity& capacity, steady_time now) {
  return now < capacity.short_until;
}

double completion_rate(const pool_capacity& capacity, steady_time now) {
  // A rate over less time than this would follow from chance.
  constexpr double shortest_count = 0.1;
  const seconds idle = now - capacity.ended_at;
  const double over = capacity.counted_for + std::min(idle, completions_half_life).count();
  return capacity.ended / std::max(over, shortest_count);
}

double expected_rate(const pool_capacity& capacity) {
  // Slightly above the rate itself, so that the gateway notices when the pool can serve more.
  constexpr double margin = 1.05;
  // A gateway whose requests found little room is not to stay behind the others.
  constexpr double least_share = 0.8;
  // Answers of engines take longer than this; without any answer so far, nothing is known.
  constexpr double shortest_time = 0.005;
  const double in_flight =
      std::max(static_cast<double>(capacity.in_flight), least_share * capacity.even_load);
  return margin * in_flight / std::max(capacity.answer_time.count(), shortest_time);
}

double slowdown_of(const vm_report& report, steady_time now) {
  const double slower = std::max(0.0, report.slowdown - 1.0);
  return 1.0 + decayed(slower, report.at, report_half_life, now);
}

double load_bound(double ratio, std::uint32_t slots, double slowdown) {
  return std::max(1.0, ratio * slots / std::max(1.0, slowdown));
}

bool fits_memory(const pool_capacity& capacity, const token_load& load, std::uint32_t tokens,
                 std::uint64_t memory_tokens) {
  const double held = load.own + load.peers_in_flight * capacity.tokens_per_request;
  return memory_tokens == 0 || held == 0.0 || held + tokens <= static_cast<double>(memory_tokens);
}

}  // namespace chestnuthead::overload
