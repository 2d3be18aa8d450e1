#include "Measure/figures.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <Poco/JSON/JSONException.h>

namespace chestnuthead {

namespace {

constexpr double median = 0.5;
constexpr double p95 = 0.95;
constexpr double p99 = 0.99;

double mean_of(const std::vector<std::uint32_t>& values) {
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return sum / static_cast<double>(values.size());
}

double percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values.at(static_cast<std::size_t>(std::llround(share * last)));
}

}  // namespace

skew_figures skew_of(const std::vector<load_sample>& samples, double least_mean, double multiple) {
  std::vector<double> ratios;
  std::size_t over = 0;
  for (const load_sample& sample : samples) {
    const double mean = mean_of(sample.in_flight);
    if (mean < least_mean) {
      continue;
    }
    const double highest = *std::max_element(sample.in_flight.begin(), sample.in_flight.end());
    ratios.push_back(highest / mean);
    over += highest > std::ceil(multiple * mean) ? 1 : 0;
  }
  skew_figures figures;
  if (ratios.empty()) {
    return figures;
  }
  const auto count = static_cast<double>(ratios.size());
  figures.worst = *std::max_element(ratios.begin(), ratios.end());
  figures.p99 = percentile(ratios, p99);
  figures.mean = std::accumulate(ratios.begin(), ratios.end(), 0.0) / count;
  figures.over_bound = static_cast<double>(over) / count;
  return figures;
}

double reuse_of(const run_findings& findings) {
  if (findings.reusable_tokens == 0) {
    return 0.0;
  }
  return static_cast<double>(findings.reused_tokens) /
         static_cast<double>(findings.reusable_tokens);
}

double percentile_ms(const std::vector<std::chrono::microseconds>& times, double share) {
  constexpr double microseconds_per_millisecond = 1e3;
  std::vector<double> values;
  values.reserve(times.size());
  for (const std::chrono::microseconds time : times) {
    values.push_back(static_cast<double>(time.count()) / microseconds_per_millisecond);
  }
  return percentile(std::move(values), share);
}

Poco::JSON::Object::Ptr result_line(const std::string& measure, const std::string& policy,
                                    std::uint64_t seed) {
  Poco::JSON::Object::Ptr line = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  line->set("measure", measure);
  line->set("policy", policy);
  line->set("seed", seed);
  return line;
}

double rounded(double value) {
  constexpr double thousand = 1'000.0;
  return std::round(value * thousand) / thousand;
}

void add_request_figures(Poco::JSON::Object& line, const run_findings& findings) {
  line.set("requests", findings.requests);
  line.set("answered", findings.answered);
  line.set("failed", findings.failed);
  line.set("first_byte_p50_ms", rounded(percentile_ms(findings.first_bytes, median)));
  line.set("first_byte_p95_ms", rounded(percentile_ms(findings.first_bytes, p95)));
  line.set("first_byte_p99_ms", rounded(percentile_ms(findings.first_bytes, p99)));
  line.set("engine_crashes", findings.engine_crashes);
  line.set("peak_while_cold", findings.peak_while_cold);
  line.set("probes", findings.probes);
  line.set("invariants_broken", findings.invariants_broken);
}

}  // namespace chestnuthead
