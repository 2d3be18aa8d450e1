#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/attempt_rules.h"
#include "Gateway/crash_suspects.h"
#include "Gateway/endpoint_table.h"
#include "Gateway/fleet_keys.h"
#include "Gateway/peer_table.h"
#include "Gateway/placement.h"
#include "Gateway/prefix_holders.h"
#include "Gateway/service_map.h"
#include "Gateway/store_era.h"

/// All tables of one gateway. One thread owns them.
namespace chestnuthead::gateway {

struct gateway_state {
  /// This gateway's name among its peers.
  node_id self;
  /// Null until the first version is known.
  service_map_ptr services;
  endpoint_table endpoints;
  fleet_view fleet;
  peer_table peers;
  loss_reports losses;
  fleet_keys keys;
  store_eras eras;
  crash_suspects suspects;
  prefix_holders holders;
  /// What the store has told this gateway and the peers have not heard of yet.
  std::vector<table_news> store_news;
  resend_terms resends;
  std::map<pool_id, resend_budget> resend_budgets;
  /// Version of the configuration that the store holds; 0 if it was not read.
  std::uint64_t stored_configuration = 0;
  /// Latest moment at which `services` was known to be the newest version.
  steady_time confirmed_at{};
  /// How long after `confirmed_at` keys are still accepted.
  std::chrono::milliseconds key_trust{0};
  /// The list of gateways was read at least once.
  bool peers_known = false;
  /// The list of endpoints was read at least once.
  bool endpoints_known = false;
  /// A planned stop has begun.
  bool stopping = false;
  /// The planned stop takes no more requests.
  bool closed = false;
  std::uint64_t requests_in_flight = 0;
};

}  // namespace chestnuthead::gateway
