#include "Overload/demand.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "Base/exponential_decay.h"

namespace chestnuthead::overload {

namespace {

using seconds = std::chrono::duration<double>;

/// Half-life of the counts by which capacity is divided, and of those of the usual traffic.
constexpr seconds recent_half_life{1.5};
constexpr seconds usual_half_life{30.0};
/// Nobody may fall below a quarter of the others. A group is therefore planned to get at least this
/// multiple of the best served group's share. For a surging customer it is lower: with 0.4, one at
/// 25 times its usual traffic takes the room of the others.
constexpr double planned_multiple = 0.4;
constexpr double planned_multiple_surging = 0.28;
/// A group or customer whose share of served requests is below this multiple is starved.
constexpr double starved_group = 0.3;
constexpr double starved_customer = 0.25;
/// Share of the limit and of the load bounds that is left to more urgent requests, and to those of
/// others by a customer that sends far too much.
constexpr double reserve_of_less_urgent = 0.07;
constexpr double reserve_of_surging = 0.12;
/// Fewest recent requests for which a share of served ones is meaningful.
constexpr double min_offered = 3.0;
/// A customer surges if its traffic has grown by more than this multiple of the others' growth,
/// and by more requests than chance explains.
constexpr double surge_multiple = 2.0;
constexpr double surge_requests = 6.0;
/// Seconds of usual traffic that must be known before a customer can count as surging.
constexpr double least_usual_time = 3.0;
/// Recent requests from which on a group counts as the most urgent one that is present.
constexpr double least_group = 0.5;
/// Counts of customers below this number are dropped.
constexpr double negligible = 0.05;

void fade(request_count& count, steady_time now) {
  count.offered = decayed(count.offered, count.at, recent_half_life, now);
  count.served = decayed(count.served, count.at, recent_half_life, now);
  count.at = now;
}

void count_offered(request_count& count, const demand& demand, bool is_usual, steady_time now) {
  fade(count, now);
  count.offered += 1.0;
  if (is_usual) {
    count.usual = decayed(count.usual, count.usual_at, usual_half_life, demand.usual_clock) + 1.0;
    count.usual_at = demand.usual_clock;
  }
}

void count_served(request_count& count, steady_time now) {
  fade(count, now);
  count.served += 1.0;
}

/// The time for which a steady rate gives the decayed counts.
double recent_window() {
  return recent_half_life.count() / std::log(2.0);
}

/// Requests that arrive in the time of the recent counts at the usual rate.
double usual_count(const request_count& count, const demand& demand) {
  const double counted_for = std::max(demand.usual_time, 1.0);
  const double usual = decayed(count.usual, count.usual_at, usual_half_life, demand.usual_clock);
  return usual / counted_for * std::min(recent_window(), counted_for);
}

/// Advances the clock of the usual traffic, which stands still while the pool is short.
void advance_usual_clock(demand& demand, bool is_usual, steady_time now) {
  if (is_usual && demand.updated_at != steady_time{}) {
    const steady_time before = demand.usual_clock;
    demand.usual_clock += now - demand.updated_at;
    demand.usual_time = decayed(demand.usual_time, before, usual_half_life, demand.usual_clock) +
                        seconds{now - demand.updated_at}.count();
  }
  demand.updated_at = now;
}

bool is_surging(const demand& demand, const customer_id& customer) {
  if (demand.usual_time < least_usual_time) {
    return false;
  }
  const request_count& own = demand.customers.at(customer);
  const double usual = usual_count(own, demand);
  const double others_usual = usual_count(demand.all, demand) - usual;
  const double others_growth =
      others_usual > 0.0 ? std::max(1.0, (demand.all.offered - own.offered) / others_usual) : 1.0;
  return own.offered > surge_multiple * others_growth * usual + surge_requests;
}

template <class Counts, class Name>
bool is_below(const Counts& counts, const Name& name, double multiple) {
  const auto place = counts.find(name);
  if (place == counts.end() || place->second.offered < min_offered) {
    return false;
  }
  double best = 0.0;
  for (const auto& [other, count] : counts) {
    if (count.offered >= min_offered) {
      best = std::max(best, served_share(count));
    }
  }
  return served_share(place->second) < multiple * best;
}

double planned(const request_group& group) {
  return group.surging ? planned_multiple_surging : planned_multiple;
}

}  // namespace

request_group note_offered(demand& demand, const customer_id& customer, int priority, bool is_short,
                           steady_time now) {
  advance_usual_clock(demand, !is_short, now);
  count_offered(demand.customers[customer], demand, !is_short, now);
  count_offered(demand.all, demand, !is_short, now);
  const request_group group{is_surging(demand, customer), priority};
  count_offered(demand.groups[group], demand, !is_short, now);
  return group;
}

void note_served(demand& demand, const customer_id& customer, const request_group& group,
                 steady_time now) {
  count_served(demand.customers[customer], now);
  count_served(demand.groups[group], now);
}

double served_share(const request_count& count) {
  return count.offered > 0.0 ? std::min(1.0, count.served / count.offered) : 1.0;
}

bool is_starved(const demand& demand, const request_group& group) {
  return is_below(demand.groups, group, group.surging ? starved_customer : starved_group);
}

bool is_starved(const demand& demand, const customer_id& customer) {
  return is_below(demand.customers, customer, starved_customer);
}

double admission_share(const demand& demand, const request_group& group, double rate,
                       steady_time now) {
  // The most urgent group is served fully if each other one gets at least its planned multiple
  // of that share; what is left then goes to the groups in their order.
  const double capacity = rate * recent_window();
  double needed = 0.0;
  bool first = true;
  std::map<request_group, double> offered;
  for (const auto& [name, count] : demand.groups) {
    const double requests = decayed(count.offered, count.at, recent_half_life, now);
    offered[name] = requests;
    needed += (first ? 1.0 : planned(name)) * requests;
    first = first && requests < least_group;
  }
  if (needed <= 0.0) {
    return 1.0;
  }
  const double best = std::min(1.0, capacity / needed);
  double left = std::max(0.0, capacity - needed);
  first = true;
  for (const auto& [name, requests] : offered) {
    const double least = first ? 1.0 : planned(name);
    first = first && requests < least_group;
    const double more = requests > 0.0 ? std::min(1.0 - least, left / requests) : 1.0 - least;
    left -= more * requests;
    if (name == group) {
      return std::min(1.0, best * least + more);
    }
  }
  return 1.0;
}

double reserve_left(const demand& demand, const request_group& group, double rate,
                    steady_time now) {
  constexpr double nearly_all = 0.95;
  const bool yields =
      admission_share(demand, group, rate, now) < nearly_all && !is_starved(demand, group) &&
      std::any_of(demand.groups.begin(), demand.groups.end(), [&](const auto& entry) {
        const request_count& count = entry.second;
        return entry.first < group &&
               decayed(count.offered, count.at, recent_half_life, now) >= least_group;
      });
  return yields ? (group.surging ? reserve_of_surging : reserve_of_less_urgent) : 0.0;
}

void drop_old_counts(demand& demand) {
  std::erase_if(demand.customers, [&demand](const auto& entry) {
    const request_count& count = entry.second;
    return count.usual == 0.0 ? demand.updated_at - count.at > usual_half_life
                              : decayed(count.usual, count.usual_at, usual_half_life,
                                        demand.usual_clock) < negligible;
  });
}

}  // namespace chestnuthead::overload
