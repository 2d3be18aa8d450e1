#include "Gossip/read_schedule.h"

#include <algorithm>

namespace chestnuthead {

namespace {

using std::chrono::milliseconds;

constexpr double jitter_share = 0.25;
constexpr double ms_per_second = 1'000.0;
constexpr std::uint32_t longest_doubling = 10;

milliseconds time_for(std::size_t count, double per_second) {
  return milliseconds{
      static_cast<std::int64_t>(ms_per_second * static_cast<double>(count) / per_second)};
}

milliseconds jittered(milliseconds mean, random_source& random) {
  const double factor = 1.0 - jitter_share + 2.0 * jitter_share * next_unit(random);
  return milliseconds{static_cast<std::int64_t>(static_cast<double>(mean.count()) * factor)};
}

milliseconds random_within(milliseconds window, random_source& random) {
  return milliseconds{
      static_cast<std::int64_t>(static_cast<double>(window.count()) * next_unit(random))};
}

/// The first pause is drawn from the whole range up to the mean, so that nodes
/// which started together read at different times from then on.
milliseconds next_pause(milliseconds mean, bool first, random_source& random) {
  return first ? std::max(shortest_read_interval / 2, random_within(mean, random))
               : jittered(mean, random);
}

/// Window over which the nodes of a failure domain that restart together spread
/// their first reads.
milliseconds start_window(const fleet_shape& fleet) {
  return time_for(fleet.domain_nodes, start_read_share * fleet.reads_per_second);
}

/// Retry interval of a node that has started and has not completed a read yet.
milliseconds start_pause(const fleet_shape& fleet, std::uint32_t failures, milliseconds steady) {
  const auto doubled = std::max(shortest_read_interval, start_window(fleet)) *
                       (1U << std::min(failures, longest_doubling));
  return std::min<milliseconds>(doubled, std::max(steady, start_window(fleet)));
}

}  // namespace

milliseconds configuration_interval(const fleet_shape& fleet) {
  const double rate = configuration_read_share * fleet.reads_per_second;
  return std::max({shortest_read_interval, time_for(fleet.nodes, rate),
                   time_for(fleet.row_bytes, row_bytes_per_second)});
}

milliseconds list_interval(const fleet_shape& fleet) {
  const double rate = list_read_share * fleet.reads_per_second;
  return std::max(shortest_read_interval, time_for(fleet.nodes, rate));
}

void begin_reads(read_schedule& schedule, random_source& random, steady_time now) {
  schedule.started = true;
  schedule.next_list_read = now + random_within(first_list_read_window, random);
}

bool list_read_due(read_schedule& schedule, const fleet_shape& fleet, random_source& random,
                   steady_time now) {
  if (schedule.list_read_since && now - *schedule.list_read_since > read_timeout) {
    list_read_done(schedule, fleet, false, random, now);
  }
  if (schedule.list_read_since || now < schedule.next_list_read) {
    return false;
  }
  schedule.list_read_since = now;
  return true;
}

bool configuration_read_due(read_schedule& schedule, const fleet_shape& fleet,
                            random_source& random, steady_time now) {
  const auto& since = schedule.configuration_read_since;
  if (since && now - *since > read_timeout) {
    configuration_read_done(schedule, fleet, false, random, now);
  }
  if (!schedule.next_configuration_read || now < *schedule.next_configuration_read) {
    return false;
  }
  schedule.next_configuration_read.reset();
  schedule.configuration_read_since = now;
  return true;
}

void list_read_done(read_schedule& schedule, const fleet_shape& fleet, bool success,
                    random_source& random, steady_time now) {
  if (!schedule.list_read_since) {
    return;
  }
  schedule.list_read_since.reset();
  const milliseconds steady = list_interval(fleet);
  const milliseconds pause = success ? steady : start_pause(fleet, schedule.list_failures, steady);
  schedule.list_failures = success ? 0 : schedule.list_failures + 1;
  schedule.next_list_read = now + next_pause(pause, schedule.list_reads++ == 0, random);
  const bool first = !schedule.next_configuration_read && !schedule.configuration_read_since;
  if (first) {
    schedule.next_configuration_read = now + random_within(start_window(fleet), random);
  }
}

void configuration_read_done(read_schedule& schedule, const fleet_shape& fleet, bool success,
                             random_source& random, steady_time now) {
  if (!schedule.configuration_read_since) {
    return;
  }
  schedule.configuration_read_since.reset();
  const milliseconds steady = configuration_interval(fleet);
  // A read that confirms nothing, such as one of an absent row, is retried as if it
  // had failed.
  const bool starting = !schedule.confirmed;
  const milliseconds pause =
      starting ? start_pause(fleet, schedule.configuration_failures, steady) : steady;
  schedule.configuration_failures = success && !starting ? 0 : schedule.configuration_failures + 1;
  schedule.next_configuration_read =
      now + next_pause(pause, schedule.configuration_reads++ == 0, random);
}

}  // namespace chestnuthead
