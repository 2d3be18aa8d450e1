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

/// Bytes a second that a node sends for exchanges, for pushes of fresh news,
/// and for whole documents and long runs of changes. What a node receives is
/// the same on the mean.
inline constexpr double exchange_bytes_per_second = 3'600.0;
inline constexpr double exchange_burst_bytes = 8'000.0;
inline constexpr double push_bytes_per_second = 1'800.0;
inline constexpr double push_burst_bytes = 12'000.0;
inline constexpr double bulk_bytes_per_second = 1'000.0;
inline constexpr double bulk_burst_bytes = 48'000.0;

/// A peer that holds a newer configuration than this node.
struct newer_peer {
  node_id peer;
  std::uint64_t version = 0;
  std::uint32_t asks = 0;
  steady_time next_ask{};
};

/// All tables of one control plane.
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
  /// Reads of the configuration by ticket, and the version in force when each
  /// was begun.
  std::map<std::uint64_t, std::uint64_t> asked;
  std::uint64_t next_ticket = 0;
  /// The upper half is a random number of this run.
  std::uint64_t next_sequence = 0;
  fleet_shape shape;
  /// Generation of the members from which `shape` was worked out, once it was.
  std::optional<std::uint64_t> shape_generation;
  steady_time next_gossip{};
  steady_time next_ageing{};
  steady_time next_member_ageing{};
  steady_time next_refutation{};
  /// Pushes of fresh news that are still to be made, one a tick.
  std::uint32_t pushes_left = 0;
  std::optional<newer_peer> newer;
  /// Exchanges in which the crashes known elsewhere are still asked for.
  std::uint32_t history_asks_left = 0;
  bool said_leaving = false;
  send_budget exchange_budget;
  send_budget push_budget;
  send_budget bulk_budget;
  control_counters counters;
  /// Sum of the tables' own counts of broken invariants as last told.
  std::uint64_t stepped_back_told = 0;
  std::uint64_t diverged_told = 0;
  std::uint64_t lists_stepped_back_told = 0;
};

}  // namespace chestnuthead
