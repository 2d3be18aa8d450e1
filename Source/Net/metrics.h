#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace chestnuthead {

/// Counters, gauges and latency histograms of one process, for /metrics. May be
/// used from any thread.
class metrics_registry {
 public:
  metrics_registry();
  ~metrics_registry();
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;

  /// Adds to a counter. `label` may be empty, or hold labels such as
  /// `kind="gossip"`.
  void count(const std::string& name, const std::string& label = {}, std::uint64_t amount = 1);
  /// Sets a counter or gauge that is kept elsewhere.
  void set(const std::string& name, const std::string& label, double value);
  /// Removes a gauge with all its labels, before those that still hold are set.
  void clear(const std::string& name);
  /// Adds a time to a histogram.
  void observe(const std::string& name, const std::string& label,
               std::chrono::duration<double> value);

  /// Everything in the text exposition format.
  [[nodiscard]] std::string format() const;

 private:
  struct histogram;

  mutable std::mutex lock;
  std::map<std::string, double> values;
  /// By name, then by label.
  std::map<std::string, std::map<std::string, std::unique_ptr<histogram>>> histograms;
};

}  // namespace chestnuthead
