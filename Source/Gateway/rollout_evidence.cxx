#include "Gateway/rollout_evidence.h"

#include <algorithm>
#include <cmath>

namespace chestnuthead::gateway {

namespace {

constexpr double buckets_per_doubling = 2.0;
/// Upper bound of the first bucket, for a thousandth of the work of a short request.
constexpr double first_bucket_ms = 0.002;
/// Prompt tokens whose reading takes about as long as the rest of a short request.
constexpr double tokens_of_fixed_work = 1'000.0;
/// Upper bound of the first bucket of paces.
constexpr double first_pace_bucket_ms = 0.5;

/// Failures beyond the old version's share that are not held against the new one.
constexpr double failure_tolerance = 0.02;
/// A new version may be slower than the old one by this number of buckets, a factor of 1.4.
constexpr std::size_t tolerated_buckets = 1;
/// Share of slow answers beyond that which is not held against the new version: its endpoints
/// begin with empty caches, so requests wait for the reading of more prompts.
constexpr double slow_tolerance = 0.05;
/// Share of the old version's times that count as slow.
constexpr double slow_share = 0.2;
/// Old results needed before the new ones are compared with them.
constexpr std::uint64_t min_old_results = 10;
/// Distances from the null hypothesis to 1 of the alternatives of a mixture test.
constexpr std::array<double, 6> alternatives{0.05, 0.1, 0.2, 0.4, 0.8, 0.98};

std::size_t bucket_of(double value, double first_bound) {
  if (!(value > first_bound)) {
    return 0;
  }
  const auto bucket =
      static_cast<std::size_t>(std::ceil(buckets_per_doubling * std::log2(value / first_bound)));
  return std::min(bucket, time_buckets - 1);
}

double to_ms(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

/// Events and trials of a Bernoulli experiment.
struct tally {
  double events = 0.0;
  double trials = 0.0;
};

/// Logarithm of the likelihood ratio of a mixture of alternatives above `null_rate` against
/// `null_rate`.
double log_ratio(const tally& seen, double null_rate) {
  if (seen.trials <= 0.0) {
    return 0.0;
  }
  std::array<double, alternatives.size()> terms{};
  for (std::size_t place = 0; place < alternatives.size(); ++place) {
    const double rate = null_rate + (1.0 - null_rate) * alternatives[place];
    terms[place] = seen.events * std::log(rate / null_rate) +
                   (seen.trials - seen.events) * std::log((1.0 - rate) / (1.0 - null_rate));
  }
  const double largest = *std::max_element(terms.begin(), terms.end());
  double sum = 0.0;
  for (const double term : terms) {
    sum += std::exp(term - largest);
  }
  return largest + std::log(sum / static_cast<double>(alternatives.size()));
}

/// One Bernoulli experiment on a route: the old version's, and that of each new endpoint.
struct experiment {
  tally old_version;
  std::vector<tally> endpoints;
  double null_rate = 0.0;
};

double evidence_of(const experiment& one) {
  tally sum;
  for (const tally& endpoint : one.endpoints) {
    sum.events += endpoint.events;
    sum.trials += endpoint.trials;
  }
  return log_ratio(sum, one.null_rate);
}

/// The evidence of all endpoints, limited to that of the weaker half plus
/// `evidence_of_some_endpoints`. With a single endpoint nothing distinguishes its own fault
/// from its version's.
double supported_evidence(const experiment& one) {
  experiment weaker = one;
  std::sort(weaker.endpoints.begin(), weaker.endpoints.end(),
            [&one](const tally& first, const tally& second) {
              return log_ratio(first, one.null_rate) < log_ratio(second, one.null_rate);
            });
  weaker.endpoints.resize((one.endpoints.size() + 1) / 2);
  const double all = evidence_of(one);
  return one.endpoints.size() < 2 ? all
                                  : std::min(all, evidence_of(weaker) + evidence_of_some_endpoints);
}

/// All results of one route.
struct route_results {
  evidence_row old_version;
  std::vector<evidence_row> endpoints;
};

tally failures_of(const evidence_row& row) {
  return {static_cast<double>(row.failures), static_cast<double>(row.answers)};
}

experiment failure_experiment(const route_results& route) {
  experiment one;
  one.old_version = failures_of(route.old_version);
  for (const evidence_row& endpoint : route.endpoints) {
    one.endpoints.push_back(failures_of(endpoint));
  }
  // Adding two failures and two successes keeps the estimate away from zero if there are few
  // results.
  const double rate = (one.old_version.events + 2.0) / (one.old_version.trials + 4.0);
  one.null_rate = std::min(rate + failure_tolerance, 0.98);
  return one;
}

double total_of(const time_histogram& times) {
  double total = 0.0;
  for (const std::uint32_t count : times) {
    total += count;
  }
  return total;
}

/// Share of times above each bucket.
std::array<double, time_buckets> shares_above(const time_histogram& times) {
  std::array<double, time_buckets> shares{};
  const double total = std::max(total_of(times), 1.0);
  double above = 0.0;
  for (std::size_t place = time_buckets; place-- > 0;) {
    shares[place] = above / total;
    above += times[place];
  }
  return shares;
}

tally slow_of(const time_histogram& times, std::size_t bound) {
  return {shares_above(times)[bound] * total_of(times), total_of(times)};
}

/// Compares times at the bound that at most `slow_share` of the old version's exceed with those
/// of the new version at a bound that is higher by `tolerated_buckets`.
experiment time_experiment(const route_results& route, time_histogram evidence_row::*times) {
  const std::array<double, time_buckets> shares = shares_above(route.old_version.*times);
  std::size_t bound = 0;
  while (bound + 1 + tolerated_buckets < time_buckets && shares[bound] > slow_share) {
    ++bound;
  }
  experiment one;
  one.old_version = slow_of(route.old_version.*times, bound);
  for (const evidence_row& endpoint : route.endpoints) {
    one.endpoints.push_back(slow_of(endpoint.*times, bound + tolerated_buckets));
  }
  const double added = 2.0 / (one.old_version.trials + 4.0);
  one.null_rate = std::min(shares[bound] + slow_tolerance + added, 0.98);
  return one;
}

std::map<std::uint64_t, route_results> results_by_route(const evidence_counts& counts) {
  std::map<std::uint64_t, route_results> routes;
  for (const auto& [key, row] : counts) {
    if (key.endpoint == 0) {
      routes[key.route].old_version = row;
    } else {
      routes[key.route].endpoints.push_back(row);
    }
  }
  return routes;
}

void consider(evidence_summary& summary, const experiment& one, std::uint64_t route,
              const char* kind) {
  if (one.old_version.trials < static_cast<double>(min_old_results)) {
    return;
  }
  const double evidence = supported_evidence(one);
  if (evidence <= summary.against) {
    return;
  }
  tally sum;
  for (const tally& endpoint : one.endpoints) {
    sum.events += endpoint.events;
    sum.trials += endpoint.trials;
  }
  summary.against = evidence;
  summary.route = route;
  summary.kind = kind;
  summary.old_rate = one.old_version.events / one.old_version.trials;
  summary.new_rate = sum.events / std::max(sum.trials, 1.0);
}

void add_times(time_histogram& sum, const time_histogram& times) {
  for (std::size_t place = 0; place < time_buckets; ++place) {
    sum[place] += times[place];
  }
}

std::uint32_t difference(std::uint32_t after, std::uint32_t before) {
  return after - std::min(after, before);
}

time_histogram difference(const time_histogram& after, const time_histogram& before) {
  time_histogram times{};
  for (std::size_t place = 0; place < time_buckets; ++place) {
    times[place] = difference(after[place], before[place]);
  }
  return times;
}

}  // namespace

std::size_t bucket_of_first(std::chrono::nanoseconds time, std::uint32_t tokens_to_read) {
  return bucket_of(to_ms(time) / (tokens_of_fixed_work + tokens_to_read), first_bucket_ms);
}

std::size_t bucket_of_pace(std::chrono::nanoseconds time) {
  return bucket_of(to_ms(time), first_pace_bucket_ms);
}

void count_result(evidence_counts& counts, const evidence_key& key, const evidence_result& result) {
  if (counts.size() >= evidence_rows_limit && !counts.contains(key)) {
    return;
  }
  evidence_row& row = counts[key];
  ++row.answers;
  if (result.failed) {
    ++row.failures;
    return;
  }
  ++row.first[bucket_of_first(result.first, result.tokens_to_read)];
  if (result.events >= min_paced_events) {
    ++row.pace[bucket_of_pace(result.events_time / (result.events - 1))];
  }
}

void add_counts(evidence_counts& sum, const evidence_counts& counts) {
  for (const auto& [key, row] : counts) {
    evidence_row& total = sum[key];
    total.answers += row.answers;
    total.failures += row.failures;
    add_times(total.first, row.first);
    add_times(total.pace, row.pace);
  }
}

evidence_counts counts_since(const evidence_counts& counts, const evidence_counts& before) {
  evidence_counts since;
  for (const auto& [key, row] : counts) {
    const auto place = before.find(key);
    if (place == before.end()) {
      since[key] = row;
      continue;
    }
    const evidence_row& earlier = place->second;
    since[key] = {difference(row.answers, earlier.answers),
                  difference(row.failures, earlier.failures), difference(row.first, earlier.first),
                  difference(row.pace, earlier.pace)};
  }
  return since;
}

evidence_counts counts_since_report(const evidence_counts& report, const evidence_counts& before) {
  evidence_counts comparable;
  for (const auto& [key, row] : before) {
    const auto place = report.find(key);
    if (place != report.end() && place->second.answers >= row.answers) {
      comparable[key] = row;
    }
  }
  return counts_since(report, comparable);
}

evidence_summary summarize(const evidence_counts& counts) {
  evidence_summary summary;
  std::map<std::uint64_t, std::uint64_t> answers_by_endpoint;
  for (const auto& [key, row] : counts) {
    if (key.endpoint != 0) {
      answers_by_endpoint[key.endpoint] += row.answers;
      summary.answers += row.answers;
    }
  }
  summary.endpoints =
      static_cast<std::size_t>(std::count_if(answers_by_endpoint.begin(), answers_by_endpoint.end(),
                                             [](const auto& entry) { return entry.second > 0; }));
  bool is_first = true;
  for (const auto& [route, results] : results_by_route(counts)) {
    std::uint64_t answers = 0;
    for (const evidence_row& endpoint : results.endpoints) {
      answers += endpoint.answers;
    }
    summary.least_on_route = is_first ? answers : std::min(summary.least_on_route, answers);
    is_first = false;
    consider(summary, failure_experiment(results), route, "failures");
    consider(summary, time_experiment(results, &evidence_row::first), route, "time_to_answer");
    consider(summary, time_experiment(results, &evidence_row::pace), route, "time_between_events");
  }
  return summary;
}

}  // namespace chestnuthead::gateway
