#include "Measure/rollout_experiment.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <thread>

#include <Poco/JSON/Array.h>

#include "Measure/figures.h"

namespace chestnuthead::measure {

namespace {

using gateway::rollout_phase;

/// Seeds listed for one kind of failure.
constexpr std::size_t listed_seeds = 20;

bool has_outcome(const rollout_result& result, rollout_phase phase) {
  return std::find(result.outcomes.begin(), result.outcomes.end(), phase) != result.outcomes.end();
}

bool is_in_time(const rollout_result& result) {
  return result.decided_after && *result.decided_after <= result.duration;
}

double allowed_exposure(const rollout_setup& setup, const rollout_result& result) {
  return setup.terms.exposure_share * static_cast<double>(result.requests) +
         setup.terms.exposure_allowance;
}

/// Upper bound of the 95% confidence interval of a share.
double upper_bound(double events, double trials) {
  constexpr double z = 1.96;
  if (trials <= 0.0) {
    return 1.0;
  }
  const double share = events / trials;
  const double spread =
      z * std::sqrt(share * (1.0 - share) / trials + z * z / (4 * trials * trials));
  return (share + z * z / (2.0 * trials) + spread) / (1.0 + z * z / trials);
}

double median(std::vector<double> values) {
  if (values.empty()) {
    return 0.0;
  }
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/// Counts the results for which the condition holds, and lists the first seeds.
template <class Condition>
void add_count(Poco::JSON::Object& figures, const std::string& name,
               const std::vector<const rollout_result*>& results, Condition condition) {
  Poco::JSON::Array seeds;
  std::size_t count = 0;
  for (const rollout_result* result : results) {
    if (!condition(*result)) {
      continue;
    }
    if (++count <= listed_seeds) {
      seeds.add(result->seed);
    }
  }
  const auto trials = static_cast<double>(results.size());
  Poco::JSON::Object row(Poco::JSON_PRESERVE_KEY_ORDER);
  row.set("count", count);
  row.set("share", rounded(trials > 0.0 ? static_cast<double>(count) / trials : 0.0));
  row.set("share_at_most", rounded(upper_bound(static_cast<double>(count), trials)));
  row.set("seeds", seeds);
  figures.set(name, row);
}

/// Adds the median of a value over the results.
template <class Value>
void add_median(Poco::JSON::Object& figures, const std::string& name,
                const std::vector<const rollout_result*>& results, Value value) {
  std::vector<double> values;
  values.reserve(results.size());
  for (const rollout_result* result : results) {
    values.push_back(value(*result));
  }
  figures.set(name, rounded(median(std::move(values))));
}

/// True if a good version was rolled back, a bad one was completed, or a rule was broken.
bool is_unexpected(const rollout_setup& setup, const rollout_result& result) {
  const bool good = setup.fault == version_fault::none;
  const auto wrong = good ? rollout_phase::rolled_back : rollout_phase::completed;
  return has_outcome(result, wrong) || result.outcomes.size() != 1 || !is_in_time(result) ||
         result.sent_too_late > 0 ||
         static_cast<double>(result.to_new) > allowed_exposure(setup, result);
}

Poco::JSON::Object describe_result(const rollout_result& result) {
  Poco::JSON::Object row(Poco::JSON_PRESERVE_KEY_ORDER);
  row.set("seed", result.seed);
  row.set("gateways", result.gateways);
  row.set("endpoints", result.endpoints);
  row.set("duration_ms", result.duration.count());
  row.set("troubles", result.troubles);
  Poco::JSON::Array outcomes;
  for (const rollout_phase phase : result.outcomes) {
    outcomes.add(std::string(name_of(phase)));
  }
  row.set("outcomes", outcomes);
  row.set("decided_ms", result.decided_after ? result.decided_after->count() : -1);
  row.set("reason", result.reason);
  row.set("requests", result.requests);
  row.set("to_new", result.to_new);
  row.set("bad_answers", result.bad_answers);
  return row;
}

Poco::JSON::Object figures_of(const rollout_setup& setup,
                              const std::vector<const rollout_result*>& results) {
  Poco::JSON::Object figures(Poco::JSON_PRESERVE_KEY_ORDER);
  figures.set("rollouts", results.size());
  add_count(figures, "completed_in_time", results, [](const rollout_result& result) {
    return has_outcome(result, rollout_phase::completed) && is_in_time(result);
  });
  add_count(figures, "rolled_back", results, [](const rollout_result& result) {
    return has_outcome(result, rollout_phase::rolled_back);
  });
  add_count(figures, "rolled_back_in_time", results, [](const rollout_result& result) {
    return has_outcome(result, rollout_phase::rolled_back) && is_in_time(result);
  });
  add_count(figures, "without_outcome", results,
            [](const rollout_result& result) { return result.outcomes.empty(); });
  add_count(figures, "two_outcomes", results,
            [](const rollout_result& result) { return result.outcomes.size() > 1; });
  add_count(figures, "exposure_exceeded", results, [&setup](const rollout_result& result) {
    return static_cast<double>(result.to_new) > allowed_exposure(setup, result);
  });
  add_count(figures, "sent_too_late", results,
            [](const rollout_result& result) { return result.sent_too_late > 0; });
  add_median(figures, "median_exposure_of_allowed", results, [&setup](const auto& result) {
    return static_cast<double>(result.to_new) / allowed_exposure(setup, result);
  });
  add_median(figures, "median_bad_answers", results,
             [](const auto& result) { return static_cast<double>(result.bad_answers); });
  add_median(figures, "median_decided_ms", results, [](const auto& result) {
    return result.decided_after ? static_cast<double>(result.decided_after->count()) : 0.0;
  });
  add_median(figures, "median_broken_off", results,
             [](const auto& result) { return static_cast<double>(result.broken_off); });
  add_median(figures, "median_not_resumable", results,
             [](const auto& result) { return static_cast<double>(result.not_resumable); });
  add_median(figures, "median_refused_writes", results,
             [](const auto& result) { return static_cast<double>(result.refused_writes); });
  return figures;
}

}  // namespace

std::vector<rollout_result> play_rollouts(const rollout_setup& setup, std::ostream* progress) {
  std::vector<rollout_result> results(setup.seeds);
  std::atomic<std::uint64_t> next = 0;
  std::atomic<std::uint64_t> done = 0;
  const auto play = [&](bool reports) {
    for (std::uint64_t place = next++; place < setup.seeds; place = next++) {
      results[place] = play_rollout(setup, setup.first_seed + place);
      ++done;
      if (reports && progress != nullptr) {
        *progress << "\r" << done << " of " << setup.seeds << " roll-outs" << std::flush;
      }
    }
  };
  std::vector<std::jthread> threads;
  const unsigned others = std::max(std::thread::hardware_concurrency(), 1U) - 1;
  for (unsigned number = 0; number < others; ++number) {
    threads.emplace_back(play, false);
  }
  play(true);
  threads.clear();
  if (progress != nullptr) {
    *progress << "\r" << setup.seeds << " of " << setup.seeds << " roll-outs\n";
  }
  return results;
}

Poco::JSON::Object::Ptr summarize_rollouts(const rollout_setup& setup,
                                           const std::vector<rollout_result>& results) {
  Poco::JSON::Object::Ptr summary = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  std::vector<const rollout_result*> calm;
  std::vector<const rollout_result*> troubled;
  for (const rollout_result& result : results) {
    (result.troubled ? troubled : calm).push_back(&result);
  }
  summary->set("calm", figures_of(setup, calm));
  summary->set("troubled", figures_of(setup, troubled));
  Poco::JSON::Array unexpected;
  for (const rollout_result& result : results) {
    if (is_unexpected(setup, result) && unexpected.size() < listed_seeds) {
      unexpected.add(describe_result(result));
    }
  }
  summary->set("unexpected", unexpected);
  return summary;
}

}  // namespace chestnuthead::measure
