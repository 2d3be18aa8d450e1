#include "Gateway/rollout_evidence.h"

#include <algorithm>
#include <cmath>

namespace chestnuthead::gateway {

namespace {

constexpr double buckets_per_doubling = 3.0;
/// Upper bound of the first bucket, for a thousandth of the work of a short request.
constexpr double first_bucket_ms = 0.004;
/// Prompt tokens whose reading takes about as long as the rest of a short request.
constexpr double tokens_of_fixed_work = 1'000.0;
/// Upper bound of the first bucket of paces.
constexpr double first_pace_bucket_ms = 0.8;

/// Failures beyond the old version's share that are not held against the new one.
constexpr double failure_tolerance = 0.02;
/// Highest share of failures of the null hypothesis.
constexpr double max_null_rate = 0.98;
/// A new version may be slower than the old one by this number of buckets, a factor of 1.26.
constexpr int tolerated_buckets = 1;
/// The same for the time to the first event of a stream with a prompt, which depends on what
/// the endpoint has cached.
constexpr int tolerated_prompt_buckets = 2;
/// Share of times that are explained by no hypothesis, such as waits behind long prompts.
constexpr double unexplained_share = 0.07;
/// Share of requests with prompts that may wait for the reading of others': the caches of new
/// endpoints are empty. Their times are longer by up to `longest_wait` buckets.
constexpr double waiting_share = 0.25;
constexpr int longest_wait = 10;
/// Part of a bucket's times that may belong to either neighbour.
constexpr double blurred_share = 0.1;
/// Old results needed before the new ones are compared with them, and for each new result. With
/// fewer the evidence counts less, as the old version's distribution is an estimate.
constexpr double min_old_results = 20.0;
constexpr double old_results_for_each = 3.0;

/// Distances of the alternatives' shares of failures from the null hypothesis to 1.
constexpr std::array<double, 6> failing_more{0.05, 0.1, 0.2, 0.4, 0.8, 0.98};
/// An alternative of the times: this share of the answers is slower by so many buckets.
struct slower_answers {
  int buckets;
  double share;
};
constexpr std::array<slower_answers, 6> slower{
    {{2, 1.0}, {3, 1.0}, {6, 1.0}, {3, 0.5}, {6, 0.5}, {8, 0.25}}};

/// Logarithms of the likelihood ratios of each alternative against the null hypothesis.
using log_ratios = std::array<double, 6>;

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

/// A comparison of both versions by one kind of result.
struct experiment {
  /// Of the results of each new endpoint.
  std::vector<log_ratios> endpoints;
  double old_results = 0.0;
  /// Shares of bad results, for the report.
  double old_rate = 0.0;
  double new_rate = 0.0;
};

/// Logarithm of the likelihood ratio of the mixture of all alternatives.
double mixture_of(const log_ratios& ratios) {
  const double largest = *std::max_element(ratios.begin(), ratios.end());
  double sum = 0.0;
  for (const double ratio : ratios) {
    sum += std::exp(ratio - largest);
  }
  return largest + std::log(sum / static_cast<double>(ratios.size()));
}

/// Evidence of the first endpoints together.
double evidence_of(const std::vector<log_ratios>& endpoints, std::size_t count) {
  log_ratios sum{};
  for (std::size_t number = 0; number < count; ++number) {
    for (std::size_t place = 0; place < sum.size(); ++place) {
      sum[place] += endpoints[number][place];
    }
  }
  return count == 0 ? 0.0 : mixture_of(sum);
}

/// The evidence of all endpoints, limited to that of the weaker half plus
/// `evidence_of_some_endpoints`. With a single endpoint nothing distinguishes its own fault
/// from its version's.
double supported_evidence(std::vector<log_ratios> endpoints) {
  std::sort(endpoints.begin(), endpoints.end(), [](const log_ratios& one, const log_ratios& other) {
    return mixture_of(one) < mixture_of(other);
  });
  const double all = evidence_of(endpoints, endpoints.size());
  const double weaker = evidence_of(endpoints, (endpoints.size() + 1) / 2);
  return endpoints.size() < 2 ? all : std::min(all, weaker + evidence_of_some_endpoints);
}

/// All results of one route.
struct route_results {
  evidence_row old_version;
  std::vector<evidence_row> endpoints;
};

/// Log-likelihood ratios of alternatives with more failures.
log_ratios failure_ratios(const evidence_row& row, double null_rate) {
  log_ratios ratios{};
  const double successes = row.answers - row.failures;
  for (std::size_t place = 0; place < ratios.size(); ++place) {
    const double rate = null_rate + (1.0 - null_rate) * failing_more[place];
    ratios[place] = row.failures * std::log(rate / null_rate) +
                    successes * std::log((1.0 - rate) / (1.0 - null_rate));
  }
  return ratios;
}

experiment failure_experiment(const route_results& route) {
  const evidence_row& old_version = route.old_version;
  // Adding two failures and two successes keeps the estimate away from zero if there are few
  // results.
  const double estimate = (old_version.failures + 2.0) / (old_version.answers + 4.0);
  const double null_rate = std::min(estimate + failure_tolerance, max_null_rate);
  experiment one;
  double answers = 0.0;
  double failures = 0.0;
  for (const evidence_row& endpoint : route.endpoints) {
    one.endpoints.push_back(failure_ratios(endpoint, null_rate));
    answers += endpoint.answers;
    failures += endpoint.failures;
  }
  one.old_results = old_version.answers;
  one.old_rate = old_version.failures / std::max(1.0, one.old_results);
  one.new_rate = failures / std::max(1.0, answers);
  return one;
}

double total_of(const time_histogram& times) {
  double total = 0.0;
  for (const std::uint32_t count : times) {
    total += count;
  }
  return total;
}

void add_times(time_histogram& sum, const time_histogram& times) {
  for (std::size_t place = 0; place < time_buckets; ++place) {
    sum[place] += times[place];
  }
}

/// Probabilities of the buckets.
using distribution = std::array<double, time_buckets>;

/// The old version's distribution, with blurred bounds between the buckets.
distribution distribution_of(const time_histogram& times) {
  distribution shares{};
  const double total = std::max(total_of(times), 1.0);
  for (std::size_t place = 0; place < time_buckets; ++place) {
    const double share = times[place] / total;
    shares[place] += share * (1.0 - 2.0 * blurred_share);
    shares[place == 0 ? place : place - 1] += share * blurred_share;
    shares[std::min(place + 1, time_buckets - 1)] += share * blurred_share;
  }
  return shares;
}

/// The distribution if all times are longer by this number of buckets.
distribution shifted(const distribution& shares, int buckets) {
  distribution moved{};
  for (std::size_t place = 0; place < time_buckets; ++place) {
    moved[std::min(place + static_cast<std::size_t>(buckets), time_buckets - 1)] += shares[place];
  }
  return moved;
}

/// The distribution of a version that is not worse than the old one.
distribution null_distribution(const distribution& old_version, bool has_prompts) {
  if (!has_prompts) {
    return shifted(old_version, tolerated_buckets);
  }
  distribution null = shifted(old_version, tolerated_prompt_buckets);
  constexpr int shortest_wait = tolerated_prompt_buckets + 1;
  constexpr double part = waiting_share / (longest_wait - shortest_wait + 1);
  for (double& share : null) {
    share *= 1.0 - waiting_share;
  }
  for (int wait = shortest_wait; wait <= longest_wait; ++wait) {
    const distribution waiting = shifted(old_version, wait);
    for (std::size_t place = 0; place < time_buckets; ++place) {
      null[place] += part * waiting[place];
    }
  }
  return null;
}

/// Log-likelihood ratios of alternatives with longer times.
log_ratios time_ratios(const time_histogram& times, const distribution& old_version,
                       const distribution& null, bool has_prompts) {
  // The alternatives are slower than anything that the null hypothesis tolerates.
  const int more = has_prompts ? tolerated_prompt_buckets - tolerated_buckets : 0;
  constexpr double unexplained = unexplained_share / time_buckets;
  log_ratios ratios{};
  for (std::size_t number = 0; number < ratios.size(); ++number) {
    const distribution slow = shifted(old_version, slower[number].buckets + more);
    const double share = slower[number].share;
    for (std::size_t place = 0; place < time_buckets; ++place) {
      const double mixed = share * slow[place] + (1.0 - share) * null[place];
      ratios[number] +=
          times[place] * std::log((unexplained + (1.0 - unexplained_share) * mixed) /
                                  (unexplained + (1.0 - unexplained_share) * null[place]));
    }
  }
  return ratios;
}

/// Share of the times above the bucket that contains the old version's median.
double share_above(const time_histogram& times, std::size_t bucket) {
  double above = 0.0;
  for (std::size_t place = bucket + 1; place < time_buckets; ++place) {
    above += times[place];
  }
  return above / std::max(total_of(times), 1.0);
}

std::size_t median_bucket(const time_histogram& times) {
  std::size_t bucket = 0;
  while (bucket + 1 < time_buckets && share_above(times, bucket) > 0.5) {
    ++bucket;
  }
  return bucket;
}

experiment time_experiment(const route_results& route, time_histogram evidence_row::*times,
                           bool may_wait) {
  const distribution old_version = distribution_of(route.old_version.*times);
  const distribution null = null_distribution(old_version, may_wait);
  time_histogram all{};
  experiment one;
  for (const evidence_row& endpoint : route.endpoints) {
    one.endpoints.push_back(time_ratios(endpoint.*times, old_version, null, may_wait));
    add_times(all, endpoint.*times);
  }
  const double needed = old_results_for_each * std::max(total_of(all), 1.0);
  const double weight = std::min(1.0, total_of(route.old_version.*times) / needed);
  for (log_ratios& ratios : one.endpoints) {
    for (double& ratio : ratios) {
      ratio *= weight;
    }
  }
  const std::size_t bucket = median_bucket(route.old_version.*times);
  one.old_results = total_of(route.old_version.*times);
  one.old_rate = share_above(route.old_version.*times, bucket);
  one.new_rate = share_above(all, bucket);
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
  if (one.old_results < min_old_results) {
    return;
  }
  const double evidence = supported_evidence(one.endpoints);
  if (evidence <= summary.against) {
    return;
  }
  summary.against = evidence;
  summary.route = route;
  summary.kind = kind;
  summary.old_rate = one.old_rate;
  summary.new_rate = one.new_rate;
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
  row.prompts += result.has_prompt ? 1 : 0;
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
    total.prompts += row.prompts;
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
                  difference(row.failures, earlier.failures),
                  difference(row.prompts, earlier.prompts), difference(row.first, earlier.first),
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
  for (const auto& [key, row] : counts) {
    summary.answers += key.endpoint == 0 ? 0 : row.answers;
  }
  for (const auto& [route, results] : results_by_route(counts)) {
    consider(summary, failure_experiment(results), route, "failures");
    const bool has_prompts = results.old_version.prompts > 0;
    consider(summary, time_experiment(results, &evidence_row::first, has_prompts), route,
             "time_to_answer");
    consider(summary, time_experiment(results, &evidence_row::pace, false), route,
             "time_between_events");
  }
  return summary;
}

}  // namespace chestnuthead::gateway
