#include "Gateway/part_verdicts.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "Gateway/peer_table.h"

namespace chestnuthead::gateway {

namespace {

using std::chrono::milliseconds;

/// Time between two reviews of the same evidence.
constexpr milliseconds review_interval{50};
/// How long a tie between parts is left open after the newest crash, and the number of crashes
/// from which on it is decided at once.
constexpr milliseconds tie_wait{300};
constexpr std::size_t tie_limit = 5;
/// Crashes within this time may be the loss of several endpoints at once. They are decided on
/// only once answers to other requests had time to arrive.
constexpr milliseconds simultaneous{100};
/// Crashes with the part for each other crash that is tolerated.
constexpr std::size_t crashes_per_other = 4;
/// The same in a small pool, where each crash hits a large share of all requests.
constexpr std::size_t small_pool_crashes_per_other = 8;
/// Crashes by which a part of a small pool must lead over all parts that are not shallower.
constexpr std::size_t small_pool_lead = 2;
/// Crashes of a small pool that are needed beyond the endpoints that a large pool needs.
constexpr std::size_t additional_crashes = 2;
/// Endpoints and time from which on one crash with the part for each other crash suffices.
constexpr std::size_t persistent_crashes = 6;
constexpr std::chrono::seconds persistent_time{3};
/// Crashes up to this long before the first one with the part show that endpoints fail without it.
constexpr std::chrono::seconds background_time{5};
constexpr milliseconds message_delay{100};

/// The crashes that count against one part.
struct tally {
  std::set<std::uint64_t> endpoints;
  std::vector<const crash_event*> events;
  /// The pools have too few endpoints for a verdict by the number of different ones.
  bool in_small_pools = false;
};

std::vector<std::uint64_t> list_of(const tally& counted) {
  return {counted.endpoints.begin(), counted.endpoints.end()};
}

using tallies = std::map<std::uint64_t, tally>;

bool is_explained(const crashing_parts& table, const crash_event& event, steady_time now) {
  return std::any_of(event.parts.begin(), event.parts.end(), [&](const auto& entry) {
    const auto place = table.refused.find(entry.first);
    return place != table.refused.end() && is_refused(place->second, now);
  });
}

/// True if the pool has fewer endpoints than a verdict by different ones needs. Endpoints that
/// crashed recently count even if their entries have expired since: a large pool that was lost
/// altogether is not small.
bool is_small(const crashing_parts& table, const pool_sizes& listed, std::uint64_t pool) {
  std::set<std::uint64_t> crashed;
  for (const crash_event& event : table.events) {
    if (event.where.pool == pool) {
      crashed.insert(event.where.endpoint);
    }
  }
  return std::max(crashed.size(), listed(pool)) < part_crashes_allowed;
}

tallies count_crashes(const crashing_parts& table, const pool_sizes& listed, steady_time now) {
  std::map<std::uint64_t, bool> small;
  for (const crash_event& event : table.events) {
    if (!small.contains(event.where.pool)) {
      small[event.where.pool] = is_small(table, listed, event.where.pool);
    }
  }
  tallies counts;
  for (const crash_event& event : table.events) {
    if (is_explained(table, event, now)) {
      continue;
    }
    for (const auto& [part, suspect] : event.parts) {
      if (!is_cleared(table, part, event.at)) {
        tally& counted = counts[part];
        counted.in_small_pools =
            small.at(event.where.pool) && (counted.events.empty() || counted.in_small_pools);
        counted.endpoints.insert(event.where.endpoint);
        counted.events.push_back(&event);
      }
    }
  }
  return counts;
}

std::vector<steady_time> times_of(const tally& counted) {
  std::vector<steady_time> times;
  for (const crash_event* event : counted.events) {
    times.push_back(event->at);
  }
  std::sort(times.begin(), times.end());
  return times;
}

/// Number of crashes that are at least `simultaneous` apart: endpoints that are lost together
/// show no more about a part than one of them.
std::size_t count_occasions(const std::vector<steady_time>& times) {
  std::size_t count = 0;
  steady_time latest{};
  for (const steady_time time : times) {
    if (count == 0 || time - latest >= simultaneous) {
      ++count;
      latest = time;
    }
  }
  return count;
}

/// The evidence against the part, as a number of different endpoints. In small pools repeated
/// crashes of the same endpoint count too, but more of them are needed.
std::size_t evidence_of(const tally& counted) {
  if (!counted.in_small_pools) {
    return counted.endpoints.size();
  }
  const std::size_t crashes = counted.events.size();
  return crashes <= additional_crashes
             ? std::min<std::size_t>(crashes, 1)
             : std::min(crashes - additional_crashes, count_occasions(times_of(counted)));
}

/// Time in which the peers learn of a crash and report what they know about its parts.
milliseconds report_delay(std::uint32_t gateways) {
  if (gateways <= 1) {
    return milliseconds{0};
  }
  return 2 * std::min(peer_message_interval(gateways), urgent_interval) + message_delay;
}

/// True if requests with other prompts were answered since the first crash: if a pool fails
/// altogether, its crashes say nothing about a part.
bool others_were_answered(const crashing_parts& table, const tally& counted, steady_time first) {
  return std::any_of(counted.events.begin(), counted.events.end(), [&](const crash_event* event) {
    const auto place = table.latest_answers.find(event->where.pool);
    return place != table.latest_answers.end() && place->second.front() >= first;
  });
}

/// True if few endpoints have crashed without the part since shortly before its first crash.
bool explains_most(const crashing_parts& table, const tally& counted,
                   const std::vector<steady_time>& times, steady_time now) {
  const bool is_persistent = counted.endpoints.size() >= persistent_crashes &&
                             times.back() - times.front() >= persistent_time;
  const auto all =
      std::count_if(table.events.begin(), table.events.end(), [&](const crash_event& event) {
        return event.at >= times.front() - background_time && !is_explained(table, event, now);
      });
  const std::size_t others = static_cast<std::size_t>(all) - counted.events.size();
  const std::size_t per_other =
      counted.in_small_pools ? small_pool_crashes_per_other : crashes_per_other;
  return others * (is_persistent ? 1 : per_other) <= counted.events.size();
}

/// True if the part may have caused its crashes, unless the pool fails altogether.
bool is_likely(const crashing_parts& table, const tally& counted, std::uint32_t gateways,
               steady_time now) {
  if (evidence_of(counted) < part_crashes_allowed) {
    return false;
  }
  const std::vector<steady_time> times = times_of(counted);
  const bool is_settled =
      now - times[1] >= report_delay(gateways) &&
      (times.back() - times.front() >= simultaneous || now - times.back() >= clearance_margin);
  return is_settled && explains_most(table, counted, times, now);
}

bool is_proven(const crashing_parts& table, const tally& counted, std::uint32_t gateways,
               steady_time now) {
  return is_likely(table, counted, gateways, now) &&
         others_were_answered(table, counted, times_of(counted).front());
}

/// True if the two parts stand in one event, the other one deeper in its prompt.
bool is_shallower(const tally& counted, std::uint64_t part, std::uint64_t other) {
  return std::any_of(counted.events.begin(), counted.events.end(), [&](const crash_event* event) {
    const auto deeper = event->parts.find(other);
    return deeper != event->parts.end() && deeper->second.depth > event->parts.at(part).depth;
  });
}

/// True if the part stands in clearly more crashes than the others. If a small pool fails for
/// another reason, several unrelated parts are in use each time.
bool stands_out(const tallies& counts, std::uint64_t part) {
  const std::size_t crashes = counts.at(part).events.size();
  return std::none_of(counts.begin(), counts.end(), [&](const auto& entry) {
    const auto& [other, counted] = entry;
    return other != part && counted.events.size() + small_pool_lead > crashes &&
           !is_shallower(counted, other, part);
  });
}

/// The parts with the most crashes. Of those that share a prompt only the deepest, which is
/// the most specific; empty while a tie may still be broken.
std::vector<std::uint64_t> leading_parts(const tallies& counts, steady_time now) {
  std::size_t most = 0;
  for (const auto& [part, counted] : counts) {
    most = std::max(most, evidence_of(counted));
  }
  std::vector<std::uint64_t> leading;
  for (const auto& [part, counted] : counts) {
    if (evidence_of(counted) == most) {
      leading.push_back(part);
    }
  }
  if (leading.size() <= 1) {
    return leading;
  }
  const bool is_open =
      most < tie_limit && std::any_of(leading.begin(), leading.end(), [&](std::uint64_t part) {
        return now - times_of(counts.at(part)).back() < tie_wait;
      });
  if (is_open) {
    return {};
  }
  std::vector<std::uint64_t> deepest;
  std::copy_if(leading.begin(), leading.end(), std::back_inserter(deepest), [&](auto part) {
    return std::none_of(leading.begin(), leading.end(), [&](std::uint64_t other) {
      return is_shallower(counts.at(part), part, other);
    });
  });
  return deepest;
}

int trials_of(const crashing_parts& table, std::uint64_t part) {
  const auto place = table.trials.find(part);
  return place == table.trials.end() ? 0 : place->second.count;
}

/// True if the part stands in clearly more crashes than other parts that are not shallower and
/// have not had more trials.
bool deserves_trial(const crashing_parts& table, const tallies& counts, std::uint64_t part) {
  const std::size_t crashes = counts.at(part).events.size();
  return std::none_of(counts.begin(), counts.end(), [&](const auto& entry) {
    const auto& [other, counted] = entry;
    return other != part && counted.events.size() + small_pool_lead > crashes &&
           trials_of(table, other) <= trials_of(table, part) && !is_shallower(counted, other, part);
  });
}

/// Begins a trial of a part of a small pool in which nothing is answered since the part's first
/// crash. The next trial takes another crash.
std::optional<std::uint64_t> begin_trial(crashing_parts& table, const tallies& counts,
                                         std::uint32_t gateways, steady_time now) {
  const bool is_running = std::any_of(table.trials.begin(), table.trials.end(),
                                      [now](auto& entry) { return now < entry.second.until; });
  if (is_running) {
    return std::nullopt;
  }
  for (const auto& [part, counted] : counts) {
    if (!counted.in_small_pools || !is_likely(table, counted, gateways, now)) {
      continue;
    }
    const std::vector<steady_time> times = times_of(counted);
    const bool has_new_crash =
        std::all_of(table.trials.begin(), table.trials.end(),
                    [&times](const auto& entry) { return times.back() >= entry.second.until; });
    if (has_new_crash && !others_were_answered(table, counted, times.front()) &&
        deserves_trial(table, counts, part)) {
      part_trial& trial = table.trials[part];
      trial.until = now + part_trial_time;
      ++trial.count;
      return part;
    }
  }
  return std::nullopt;
}

void drop_expired(crashing_parts& table, steady_time now) {
  std::erase_if(table.events,
                [now](const crash_event& event) { return now - event.at >= part_crash_lifetime; });
  std::erase_if(table.answers,
                [now](const auto& entry) { return now - entry.second.at >= part_crash_lifetime; });
  std::erase_if(table.refused,
                [now](const auto& entry) { return now >= entry.second.until + part_probation; });
  std::erase_if(table.trials, [now](const auto& entry) {
    return now >= entry.second.until + part_crash_lifetime;
  });
}

/// Endpoints that crashed while they executed a request with the part.
std::vector<std::uint64_t> crashed_with(const crashing_parts& table, std::uint64_t part) {
  std::set<std::uint64_t> endpoints;
  for (const crash_event& event : table.events) {
    if (event.parts.contains(part)) {
      endpoints.insert(event.where.endpoint);
    }
  }
  return {endpoints.begin(), endpoints.end()};
}

/// Parts that are on probation and have crashed an endpoint again.
std::vector<std::uint64_t> relapsed_parts(const crashing_parts& table, const tallies& counts,
                                          steady_time now) {
  std::vector<std::uint64_t> relapsed;
  for (const auto& [part, row] : table.refused) {
    const auto place = counts.find(part);
    if (!is_refused(row, now) && place != counts.end() &&
        times_of(place->second).back() >= row.until) {
      relapsed.push_back(part);
    }
  }
  return relapsed;
}

void add_suspected(crashing_parts& table, const tallies& counts,
                   std::vector<part_verdict>& verdicts) {
  std::erase_if(table.suspected, [&](std::uint64_t part) { return !counts.contains(part); });
  for (const auto& [part, counted] : counts) {
    if (std::max(evidence_of(counted), counted.endpoints.size()) + 1 >= part_crashes_allowed &&
        table.suspected.insert(part).second) {
      verdicts.push_back({part, list_of(counted), false, false});
    }
  }
}

}  // namespace

std::vector<part_verdict> review_parts(crashing_parts& table, std::uint32_t gateways,
                                       const pool_sizes& listed, steady_time now) {
  std::vector<part_verdict> verdicts;
  for (const std::uint64_t part : std::exchange(table.newly_adopted, {})) {
    verdicts.push_back({part, crashed_with(table, part), true, true});
  }
  if (now < table.next_review) {
    return verdicts;
  }
  table.next_review = now + review_interval;
  drop_expired(table, now);
  if (table.events.empty()) {
    table.suspected.clear();
    return verdicts;
  }
  std::erase_if(table.refused, [&](const auto& entry) {
    return is_refused(entry.second, now) && is_other_to_blame(table, entry.first, now);
  });
  const tallies counts = count_crashes(table, listed, now);
  add_suspected(table, counts, verdicts);
  std::vector<std::uint64_t> guilty = relapsed_parts(table, counts, now);
  for (const std::uint64_t part : leading_parts(counts, now)) {
    const tally& counted = counts.at(part);
    if ((!counted.in_small_pools || stands_out(counts, part)) &&
        is_proven(table, counted, gateways, now)) {
      guilty.push_back(part);
    }
  }
  if (guilty.empty()) {
    if (const auto part = begin_trial(table, counts, gateways, now)) {
      verdicts.push_back({*part, list_of(counts.at(*part)), false, false, true});
    }
  }
  for (const std::uint64_t part : guilty) {
    refuse_part(table, part, now, now);
    verdicts.push_back({part, list_of(counts.at(part)), true, false});
  }
  return verdicts;
}

}  // namespace chestnuthead::gateway
