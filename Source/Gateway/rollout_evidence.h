#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Evidence on the quality of a new software version: results of requests to its endpoints
/// beside those to the old ones at the same time, and sequential tests of their difference.
namespace chestnuthead::gateway {

/// Buckets of a histogram of times, three for each doubling.
inline constexpr std::size_t time_buckets = 24;
using time_histogram = std::array<std::uint32_t, time_buckets>;

/// What results are counted by.
struct evidence_key {
  /// Hash of the route's name.
  std::uint64_t route = 0;
  /// `endpoint::hash` of an endpoint of the new version; 0 stands for all old endpoints.
  std::uint64_t endpoint = 0;

  auto operator<=>(const evidence_key&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Results of requests that were answered.
struct evidence_row {
  std::uint32_t answers = 0;
  /// Answers that were errors of the endpoint.
  std::uint32_t failures = 0;
  /// Answers to requests with a prompt.
  std::uint32_t prompts = 0;
  /// Time to the answer or to the first event, by the work of reading the prompt.
  time_histogram first{};
  /// Mean time between two events of a stream.
  time_histogram pace{};
};

using evidence_counts = std::map<evidence_key, evidence_row>;

/// Most rows that one gateway counts; requests beyond them are not counted.
inline constexpr std::size_t evidence_rows_limit = 160;

/// The bucket of a time to the answer or to the first event of a request whose prompt has
/// this many tokens that the endpoint probably has to read.
std::size_t bucket_of_first(std::chrono::nanoseconds time, std::uint32_t tokens_to_read);

/// The bucket of the mean time between two events.
std::size_t bucket_of_pace(std::chrono::nanoseconds time);

/// One answered request.
struct evidence_result {
  bool failed = false;
  bool has_prompt = false;
  std::chrono::nanoseconds first{0};
  std::uint32_t tokens_to_read = 0;
  /// Events and the time from the first to the last one; unused below `min_paced_events`.
  std::uint32_t events = 0;
  std::chrono::nanoseconds events_time{0};
};

/// Events from which the pace of a stream is counted.
inline constexpr std::uint32_t min_paced_events = 4;

void count_result(evidence_counts& counts, const evidence_key& key, const evidence_result& result);

void add_counts(evidence_counts& sum, const evidence_counts& counts);

/// `counts` without those of `before`; never negative.
evidence_counts counts_since(const evidence_counts& counts, const evidence_counts& before);

/// The results that a peer has added since its report before: all of a row whose numbers are
/// lower than before, as the peer has begun to count anew.
evidence_counts counts_since_report(const evidence_counts& report, const evidence_counts& before);

/// The strongest evidence against the new version, over all routes and kinds of fault.
struct evidence_summary {
  /// Logarithm of the likelihood ratio of "worse than the old version" against "not worse",
  /// as far as more than one endpoint supports it.
  double against = 0.0;
  /// Answers of the new version.
  std::uint64_t answers = 0;
  /// The route and the kind of fault with the strongest evidence.
  std::uint64_t route = 0;
  std::string kind;
  double old_rate = 0.0;
  double new_rate = 0.0;
};

evidence_summary summarize(const evidence_counts& counts);

/// Evidence needed to reject a version while it is tried. The tests may be repeated any
/// number of times: the probability that a likelihood ratio ever exceeds x under the null
/// hypothesis is at most 1/x (Ville's inequality; Robbins 1970 on mixture tests).
inline constexpr double evidence_to_reject = 7.6;
/// Most that the half of the endpoints with the strongest evidence may add to that of the
/// others, so that a few faulty endpoints do not stand for their version.
inline constexpr double evidence_of_some_endpoints = 5.0;
/// Evidence with which a version is not completed, although it is not rejected earlier.
inline constexpr double evidence_to_doubt = 3.5;

}  // namespace chestnuthead::gateway
