#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

#include "Measure/fleet_run.h"

/// Statistics computed from the findings of a run.
namespace chestnuthead {

/// Load imbalance between the endpoints.
struct skew_figures {
  /// Ratio of highest to mean load: maximum, 99th percentile and mean over the
  /// samples.
  double worst = 0.0;
  double p99 = 0.0;
  double mean = 0.0;
  /// Share of samples in which the highest load exceeded the configured multiple
  /// of the mean, rounded up to a whole request.
  double over_bound = 0.0;
};

/// Computes the skew over the samples whose mean load is at least `least_mean`;
/// `multiple` is the bound on the highest load as a multiple of the mean.
skew_figures skew_of(const std::vector<load_sample>& samples, double least_mean, double multiple);

/// Share of reusable prefix tokens that were found in a cache.
double reuse_of(const run_findings& findings);

/// Value below which `share` of the times lie, in milliseconds; 0 if there are no
/// times.
double percentile_ms(const std::vector<std::chrono::microseconds>& times, double share);

/// Creates the JSON object of a result line with measure, policy and seed. Keys
/// keep their insertion order.
Poco::JSON::Object::Ptr result_line(const std::string& measure, const std::string& policy,
                                    std::uint64_t seed);

/// Rounds to three decimals, so that lines are readable and reproducible.
double rounded(double value);

/// Adds request counts and first-byte times of a run to a result line.
void add_request_figures(Poco::JSON::Object& line, const run_findings& findings);

}  // namespace chestnuthead
