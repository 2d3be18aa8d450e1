#pragma once

#include <cstdint>
#include <map>

#include "chestnuthead/clock.h"
#include "chestnuthead/random_source.h"

#include "Gateway/gateway_state.h"
#include "Net/json_log.h"
#include "Net/metrics.h"
#include "Traffic/endpoint_link.h"
#include "Traffic/event_loop.h"
#include "Traffic/wire_dialect.h"

namespace chestnuthead::traffic {

class room_waiter;

/// The objects that all connections and requests of one gateway share. They must outlive the
/// connections and requests.
struct traffic_context {
  event_loop& loop;
  const clock& time;
  random_source& random;
  const wire_dialect& dialect;
  json_log& log;
  metrics_registry& metrics;
  gateway::gateway_state& state;
  endpoint_links& links;
  /// The requests that wait for room in their pools, by their tickets.
  std::map<std::uint64_t, room_waiter*> waiting{};
};

}  // namespace chestnuthead::traffic
