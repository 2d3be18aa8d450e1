#pragma once

#include <map>
#include <memory>

#include "chestnuthead/ids.h"

#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

/// Asks endpoints that were unreachable whether they are back. Endpoints that
/// answer requests are not asked: the results say more.
class health_checks {
 public:
  explicit health_checks(traffic_context& context);
  ~health_checks();
  health_checks(const health_checks&) = delete;
  health_checks& operator=(const health_checks&) = delete;

  /// Begins the checks that are due.
  void tick(steady_time now);

 private:
  class check;

  void begin(gateway::endpoint& row, steady_time now);

  traffic_context& context;
  std::map<endpoint_id, std::unique_ptr<check>> running;
  steady_time next_walk_at{};
};

}  // namespace chestnuthead::traffic
