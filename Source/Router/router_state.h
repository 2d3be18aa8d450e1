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
#include "Router/chat_memory.h"
#include "Router/load_memory.h"
#include "Router/placement.h"
#include "Router/request_table.h"
#include "Router/retry_budget.h"

namespace chestnuthead {

namespace routing {

using router_actions = std::vector<router_action>;

/// Whether the router is ready and how far its planned stop has come.
struct service_status {
  bool ready = false;
  /// When the planned stop began; empty while there is none.
  std::optional<steady_time> stop_begun;
  bool stopped = false;
};

/// Choices that measurements compare.
struct router_tuning {
  /// Best choices whose loads are compared for a chat's first turn; 1 turns the
  /// question off.
  std::uint32_t new_chat_choices = 1;
  /// The same for a request that belongs to no chat.
  std::uint32_t no_chat_choices = 2;
};

/// Mechanisms that measurements and proofs switch off, one at a time.
struct router_switches {
  bool use_chat_memory = false;
  bool seal_before_not_run = true;
  bool skip_endpoints_out = true;
  bool drop_stale_events = true;
  bool keep_deadline = true;
  bool limit_retries = true;
  bool refuse_after_crashes = true;
  bool serve_while_draining = true;
};

}  // namespace routing

/// All tables of one router.
struct router_state {
  router_settings settings;
  random_source* random = nullptr;
  control_plane_ptr plane;
  sealer_ptr seals;
  routing::request_table requests;
  routing::placement_cache placement;
  routing::load_memory loads;
  routing::chat_memory chats;
  routing::retry_budget retries;
  routing::service_status service;
  routing::router_tuning tuning;
  routing::router_switches switches;
  /// Makes the names of attempts unique over restarts of this router.
  std::uint64_t run_number = 0;
  std::uint64_t invariants_broken = 0;
};

}  // namespace chestnuthead
