#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/random_source.h"
#include "chestnuthead/router_core.h"

#include "Gossip/control_plane.h"
#include "Ledger/sealer.h"
#include "Router/chat_affinity_cache.h"
#include "Router/load_cache.h"
#include "Router/placement.h"
#include "Router/request_table.h"
#include "Router/retry_budget.h"

namespace chestnuthead {

namespace routing {

using router_actions = std::vector<router_action>;

/// Readiness of the router and progress of its planned stop.
struct service_status {
  bool ready = false;
  /// When the planned stop began; empty if none was requested.
  std::optional<steady_time> stop_begun;
  bool stopped = false;
};

/// Parameters that measurements vary.
struct router_tuning {
  /// Number of best choices whose loads are compared for the first request of a
  /// chat; 1 disables the probes.
  std::uint32_t new_chat_choices = 1;
  /// The same for a request without a chat.
  std::uint32_t no_chat_choices = 2;
};

/// Mechanisms that measurements and tests disable one at a time to show their
/// effect.
struct router_switches {
  bool use_chat_affinity = false;
  bool seal_before_not_run = true;
  bool skip_endpoints_out = true;
  bool drop_stale_events = true;
  bool keep_deadline = true;
  bool limit_retries = true;
  bool refuse_after_crashes = true;
  bool serve_while_draining = true;
};

}  // namespace routing

/// The complete state of one router.
struct router_state {
  router_settings settings;
  random_source* random = nullptr;
  control_plane_ptr plane;
  sealer_ptr key_sealer;
  routing::request_table requests;
  routing::placement_cache placement;
  routing::load_cache loads;
  routing::chat_affinity_cache chats;
  routing::retry_budget retries;
  routing::service_status service;
  routing::router_tuning tuning;
  routing::router_switches switches;
  /// Random number that keeps attempt ids unique across restarts of this
  /// router.
  std::uint64_t run_number = 0;
  std::uint64_t invariants_broken = 0;
};

}  // namespace chestnuthead
