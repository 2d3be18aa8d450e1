#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

#include "Measure/fleet_run.h"

/// Figures worked out from the findings of a run.
namespace chestnuthead {

/// How unevenly load was spread over the endpoints in service.
struct skew_figures {
  /// Highest over mean load.
  double worst = 0.0;
  double p99 = 0.0;
  double mean = 0.0;
  /// Share of samples in which the highest load was over the set multiple of
  /// the mean, rounded up to a whole request.
  double over_bound = 0.0;
};

/// Skew over samples whose mean load is at least `least_mean`, held against a
/// set multiple of the mean.
skew_figures skew_of(const std::vector<load_sample>& samples, double least_mean, double multiple);

/// Share of reusable prefix tokens that were found in a cache.
double reuse_of(const run_findings& findings);

/// The value below which `share` of the times lie, in milliseconds; 0 for none.
double percentile_ms(const std::vector<std::chrono::microseconds>& times, double share);

/// An object for one line of results, with policy and seed in it. Its keys keep
/// their order.
Poco::JSON::Object::Ptr result_line(const std::string& measure, const std::string& policy,
                                    std::uint64_t seed);

/// `value` with three decimals, so that a line reads well and stays the same.
double rounded(double value);

/// Adds counts and first-byte times of a run to a line.
void add_service(Poco::JSON::Object& line, const run_findings& findings);

}  // namespace chestnuthead
