#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace chestnuthead {

/// Counters, gauges and latency histograms of one process, as exported at
/// /metrics. Thread-safe.
class metrics_registry {
 public:
  metrics_registry();
  ~metrics_registry();
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;

  /// Adds `amount` to a counter. `label` is empty or a label list such as
  /// `kind="gossip"`.
  void count(const std::string& name, const std::string& label = {}, std::uint64_t amount = 1);
  /// Sets a gauge, or a counter whose value is maintained elsewhere.
  void set(const std::string& name, const std::string& label, double value);
  /// Removes a gauge with all its labels. Call it before setting the current
  /// ones, so that outdated labels disappear.
  void clear(const std::string& name);
  /// Records a duration in a histogram.
  void observe(const std::string& name, const std::string& label,
               std::chrono::duration<double> value);

  /// All metrics in the Prometheus text exposition format.
  [[nodiscard]] std::string format() const;

 private:
  struct histogram;

  mutable std::mutex lock;
  std::map<std::string, double> values;
  /// By name, then by label.
  std::map<std::string, std::map<std::string, std::unique_ptr<histogram>>> histograms;
};

}  // namespace chestnuthead
