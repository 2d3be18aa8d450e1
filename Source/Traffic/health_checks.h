#pragma once

#include <map>
#include <memory>

#include "chestnuthead/ids.h"

#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

/// Checks whether endpoints that were unreachable are healthy again. Endpoints that answer
/// requests are not checked, as the results of their requests are more accurate.
class health_checks {
 public:
  explicit health_checks(traffic_context& context);
  ~health_checks();
  health_checks(const health_checks&) = delete;
  health_checks& operator=(const health_checks&) = delete;

  /// Ends checks that have timed out and starts those that are due.
  void tick(steady_time now);

 private:
  class check;

  void begin(gateway::endpoint& row, steady_time now);

  traffic_context& context;
  std::map<endpoint_id, std::unique_ptr<check>> running;
  steady_time next_scan_at{};
};

}  // namespace chestnuthead::traffic
