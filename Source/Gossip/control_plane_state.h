#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "chestnuthead/clock.h"
#include "chestnuthead/random_source.h"
#include "chestnuthead/vm_list.h"

#include "Gossip/configuration_history.h"
#include "Gossip/control_plane.h"
#include "Gossip/crash_table.h"
#include "Gossip/load_table.h"
#include "Gossip/member_table.h"
#include "Gossip/peer_picker.h"
#include "Gossip/read_schedule.h"
#include "Gossip/rumor_store.h"
#include "Gossip/send_budget.h"

namespace chestnuthead {

/// Bandwidth limits of one node for periodic exchanges, for pushes of new rumors
/// and changes, and for bulk transfers (whole documents and long patch chains). On
/// average a node receives as much as it sends.
inline constexpr double exchange_bytes_per_second = 3'600.0;
inline constexpr double exchange_burst_bytes = 8'000.0;
inline constexpr double push_bytes_per_second = 1'800.0;
inline constexpr double push_burst_bytes = 12'000.0;
inline constexpr double bulk_bytes_per_second = 1'000.0;
inline constexpr double bulk_burst_bytes = 48'000.0;

/// A peer known to hold a newer configuration than this node.
struct newer_peer {
  node_id peer;
  std::uint64_t version = 0;
  std::uint32_t queries = 0;
  steady_time next_query{};
};

/// The state of one control plane.
struct control_plane {
  vm_entry self;
  random_source* random = nullptr;
  configuration_history configuration;
  member_table members;
  rumor_store rumors;
  crash_table crashes;
  load_table loads;
  read_schedule reads;
  peer_picker picker;
  /// Outstanding reads of the configuration row by ticket, with the active version
  /// at the time of the read.
  std::map<std::uint64_t, std::uint64_t> pending_reads;
  std::uint64_t next_ticket = 0;
  /// Sequence number of the last rumor of this node. The upper 32 bits are random
  /// for each run of the process.
  std::uint64_t next_sequence = 0;
  fleet_shape shape;
  /// Generation of the member table from which `shape` was computed; empty before.
  std::optional<std::uint64_t> shape_generation;
  steady_time next_gossip{};
  steady_time next_ageing{};
  steady_time next_member_ageing{};
  steady_time next_refutation{};
  /// Remaining pushes of new rumors and changes; one is sent per tick.
  std::uint32_t pushes_left = 0;
  std::optional<newer_peer> newer;
  /// Number of further exchanges that request the peer's crash history.
  std::uint32_t history_requests_left = 0;
  bool announced_leaving = false;
  send_budget exchange_budget;
  send_budget push_budget;
  send_budget bulk_budget;
  control_counters counters;
  /// Values of the tables' violation counters when last reported.
  std::uint64_t reported_version_regressions = 0;
  std::uint64_t reported_divergences = 0;
  std::uint64_t reported_list_regressions = 0;
};

}  // namespace chestnuthead
