#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/attempt_rules.h"
#include "Gateway/crash_suspects.h"
#include "Gateway/crashing_parts.h"
#include "Gateway/endpoint_table.h"
#include "Gateway/extra_tries.h"
#include "Gateway/fleet_keys.h"
#include "Gateway/peer_table.h"
#include "Gateway/placement.h"
#include "Gateway/prefix_holders.h"
#include "Gateway/rollout.h"
#include "Gateway/rollout_schedule.h"
#include "Gateway/service_map.h"
#include "Gateway/store_era.h"
#include "Gateway/stream_origins.h"
#include "Overload/memory_account.h"
#include "Overload/pool_control.h"

/// All state of one gateway. A single thread owns it.
namespace chestnuthead::gateway {

struct gateway_state {
  /// This gateway's name among its peers.
  node_id self;
  /// The configuration in force; null until a first version was received.
  service_map_ptr services;
  endpoint_table endpoints;
  fleet_view fleet;
  peer_table peers;
  loss_reports losses;
  fleet_keys keys;
  store_eras eras;
  crash_suspects suspects;
  crashing_parts parts;
  prefix_holders holders;
  rollout_table rollouts;
  rollout_terms rollout_limits;
  stream_origins streams;
  /// Updates from the store that have not been sent to the peers yet.
  std::vector<table_update> table_updates;
  resend_terms resends;
  std::map<pool_id, resend_budget> resend_budgets;
  overload::control_state overload;
  /// Hedged requests; disabled by default.
  extra_tries tries;
  /// Version of the configuration in the store; 0 if it was not read.
  std::uint64_t stored_configuration = 0;
  /// Time that this gateway's copy of the operators' orders reflects.
  steady_time orders_as_of{};
  /// Latest time at which `services` was confirmed to be the newest version.
  steady_time confirmed_at{};
  /// How long after `confirmed_at` callers' keys are still accepted.
  std::chrono::milliseconds key_trust{0};
  /// True once the list of gateways was read, or if this gateway has no peers.
  bool peers_known = false;
  /// When this process started; not set if it has no peers.
  steady_time started_at{};
  /// True once the list of endpoints was read.
  bool endpoints_known = false;
  /// When this process was last known to run; see `note_running`.
  steady_time ran_at{};
  /// A graceful shutdown has begun.
  bool stopping = false;
  /// From when on a graceful shutdown admits no requests, also if no tick has run since.
  std::optional<steady_time> closes_at;
  std::uint64_t requests_in_flight = 0;
  /// What is held for callers and endpoints. It must outlive all connections.
  overload::memory_account memory;
};

/// True once a graceful shutdown admits no requests any more.
inline bool is_closed(const gateway_state& state, steady_time now) {
  return state.closes_at && now >= *state.closes_at;
}

}  // namespace chestnuthead::gateway
