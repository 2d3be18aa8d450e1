#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace chestnuthead {

/// Counters, gauges and distributions of one process, for /metrics. May be used
/// from any thread.
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
  /// Adds a value to a distribution.
  void observe(const std::string& name, double value);

  /// Everything in the text exposition format.
  [[nodiscard]] std::string format() const;

 private:
  struct distribution;

  mutable std::mutex lock;
  std::map<std::string, double> values;
  std::map<std::string, std::unique_ptr<distribution>> distributions;
};

}  // namespace chestnuthead
