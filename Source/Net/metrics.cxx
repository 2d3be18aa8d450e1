#include "Net/metrics.h"

#include <sstream>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace chestnuthead {

namespace {

namespace stats = boost::accumulators;

using total_set = stats::accumulator_set<double, stats::stats<stats::tag::count, stats::tag::sum>>;

/// Upper bounds of the buckets in seconds: dense around the usual latency
/// objectives (0.15 to 1.1 s), up to the longest time that a caller waits.
const std::vector<double>& bucket_bounds() {
  static const std::vector<double> bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3,
                                          0.4,   0.6,  0.8,   1.1,  2.0, 5.0,  10.0};
  return bounds;
}

/// Edges of the histogram axis: zero, then the upper bounds.
std::vector<double> edges() {
  std::vector<double> all{0.0};
  all.insert(all.end(), bucket_bounds().begin(), bucket_bounds().end());
  return all;
}

std::string with_labels(const std::string& name, const std::string& label) {
  return label.empty() ? name : name + "{" + label + "}";
}

}  // namespace

/// Sum and count with Boost.Accumulators, buckets with Boost.Histogram, since
/// Boost.Accumulators has no histogram with fixed buckets.
struct metrics_registry::histogram {
  total_set total;
  decltype(boost::histogram::make_histogram(boost::histogram::axis::variable<>(edges()))) buckets =
      boost::histogram::make_histogram(boost::histogram::axis::variable<>(edges()));

  void add(double value) {
    this->total(value);
    this->buckets(value);
  }

  void format(std::ostream& out, const std::string& name, const std::string& label) const {
    const std::string before = label.empty() ? "" : label + ",";
    double sum = 0.0;
    for (std::size_t bucket = 0; bucket < bucket_bounds().size(); ++bucket) {
      sum += this->buckets.at(static_cast<int>(bucket));
      out << name << "_bucket{" << before << "le=\"" << bucket_bounds()[bucket] << "\"} " << sum
          << '\n';
    }
    const std::size_t count = stats::count(this->total);
    out << name << "_bucket{" << before << "le=\"+Inf\"} " << count << '\n'
        << with_labels(name + "_sum", label) << ' ' << stats::sum(this->total) << '\n'
        << with_labels(name + "_count", label) << ' ' << count << '\n';
  }
};

metrics_registry::metrics_registry() = default;

metrics_registry::~metrics_registry() = default;

void metrics_registry::count(const std::string& name, const std::string& label,
                             std::uint64_t amount) {
  const std::lock_guard guard(this->lock);
  this->values[with_labels(name, label)] += static_cast<double>(amount);
}

void metrics_registry::set(const std::string& name, const std::string& label, double value) {
  const std::lock_guard guard(this->lock);
  this->values[with_labels(name, label)] = value;
}

void metrics_registry::clear(const std::string& name) {
  const std::lock_guard guard(this->lock);
  std::erase_if(this->values, [&name](const auto& entry) {
    return entry.first == name || entry.first.starts_with(name + "{");
  });
}

void metrics_registry::observe(const std::string& name, const std::string& label,
                               std::chrono::duration<double> value) {
  const std::lock_guard guard(this->lock);
  auto& entry = this->histograms[name][label];
  if (entry == nullptr) {
    entry = std::make_unique<histogram>();
  }
  entry->add(value.count());
}

std::string metrics_registry::format() const {
  const std::lock_guard guard(this->lock);
  std::ostringstream out;
  out.precision(15);
  for (const auto& [name, value] : this->values) {
    out << name << ' ' << value << '\n';
  }
  for (const auto& [name, labels] : this->histograms) {
    out << "# TYPE " << name << " histogram\n";
    for (const auto& [label, entry] : labels) {
      entry->format(out, name, label);
    }
  }
  return out.str();
}

}  // namespace chestnuthead
