#include "Net/metrics.h"

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace chestnuthead {

namespace {

namespace stats = boost::accumulators;

using total_set = stats::accumulator_set<double, stats::stats<stats::tag::count, stats::tag::sum>>;
using quantile_set = stats::accumulator_set<double, stats::stats<stats::tag::p_square_quantile>>;

constexpr double middle = 0.5;
constexpr double high = 0.95;
constexpr double highest = 0.99;
/// With fewer values the estimate is not defined.
constexpr std::size_t values_needed = 16;

std::string full_name(const std::string& name, const std::string& label) {
  return label.empty() ? name : name + "{" + label + "}";
}

}  // namespace

struct metrics_registry::distribution {
  total_set total;
  quantile_set p50{stats::quantile_probability = middle};
  quantile_set p95{stats::quantile_probability = high};
  quantile_set p99{stats::quantile_probability = highest};

  void add(double value) {
    this->total(value);
    this->p50(value);
    this->p95(value);
    this->p99(value);
  }
};

metrics_registry::metrics_registry() = default;

metrics_registry::~metrics_registry() = default;

void metrics_registry::count(const std::string& name, const std::string& label,
                             std::uint64_t amount) {
  const std::lock_guard guard(this->lock);
  this->values[full_name(name, label)] += static_cast<double>(amount);
}

void metrics_registry::set(const std::string& name, const std::string& label, double value) {
  const std::lock_guard guard(this->lock);
  this->values[full_name(name, label)] = value;
}

void metrics_registry::observe(const std::string& name, double value) {
  const std::lock_guard guard(this->lock);
  auto& entry = this->distributions[name];
  if (entry == nullptr) {
    entry = std::make_unique<distribution>();
  }
  entry->add(value);
}

std::string metrics_registry::format() const {
  const std::lock_guard guard(this->lock);
  std::ostringstream out;
  out.precision(15);
  for (const auto& [name, value] : this->values) {
    out << name << ' ' << value << '\n';
  }
  for (const auto& [name, entry] : this->distributions) {
    const std::size_t count = stats::count(entry->total);
    out << name << "_count " << count << '\n'
        << name << "_sum " << stats::sum(entry->total) << '\n';
    if (count < values_needed) {
      continue;
    }
    out << name << "{quantile=\"0.5\"} " << stats::p_square_quantile(entry->p50) << '\n'
        << name << "{quantile=\"0.95\"} " << stats::p_square_quantile(entry->p95) << '\n'
        << name << "{quantile=\"0.99\"} " << stats::p_square_quantile(entry->p99) << '\n';
  }
  return out.str();
}

}  // namespace chestnuthead
