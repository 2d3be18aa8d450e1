#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/configuration.h"
#include "chestnuthead/gossip.h"
#include "chestnuthead/ids.h"
#include "chestnuthead/random_source.h"
#include "chestnuthead/vm_list.h"

#include "Base/table_ask.h"

/// The part that every core embeds to follow the configuration, to know the
/// other nodes and to spread news and loads. Sans-I/O like the cores.
namespace chestnuthead {

/// A node as this one knows it.
struct member {
  vm_entry vm;
  /// Announced by the platform or by the node itself.
  bool leaving = false;
  /// The node said so itself, so it is known before the VM list has it.
  bool announced = false;
  /// Links to it failed; it is not chosen before this time.
  steady_time avoid_until{};
};

/// Messages and calls that the control plane wants made.
struct outgoing_gossip {
  node_id to;
  std::string address;
  gossip_message message;
};

/// An invariant of the control plane that does not hold; `name` is a fixed word.
struct broken_invariant {
  std::string name;
  std::string detail;
};

struct control_output {
  std::vector<outgoing_gossip> messages;
  std::vector<table_ask> asks;
  bool read_vm_list = false;
  std::vector<broken_invariant> broken;
};

struct control_plane;

struct control_plane_deleter {
  void operator()(control_plane* plane) const;
};

using control_plane_ptr = std::unique_ptr<control_plane, control_plane_deleter>;

/// `self` is this node's own entry, as the VM list will show it. An endpoint has
/// the same name as the node of its agent. `random` must
/// outlive the result.
control_plane_ptr make_control_plane(const vm_entry& self, random_source& random);

// Events. Each returns what to send.
control_output control_tick(control_plane& plane, steady_time now);
control_output take_table_reply(control_plane& plane, std::uint64_t ticket,
                                const table_reply& reply, steady_time now);
control_output take_vm_list(control_plane& plane, const vm_list_reply& reply, steady_time now);
control_output take_gossip(control_plane& plane, const gossip_message& message, steady_time now);

/// A version that a peer's request or answer mentioned: if it is newer than
/// ours, the next tick asks that peer for it.
void note_version(control_plane& plane, const node_id& peer, std::uint64_t version);

/// Links to `node` failed just now: it is avoided for a while that grows with
/// each failure in a row.
void note_link_lost(control_plane& plane, const node_id& node, steady_time now);
/// `node` answered, so it is no longer avoided.
void note_link_good(control_plane& plane, const node_id& node);

/// Begins to spread a piece of news from this node. For `node_serving` of this
/// node the detail is filled in here; a fingerprint is given as decimal number.
void start_rumor(control_plane& plane, rumor_kind kind, const std::string& subject,
                 const std::string& detail, steady_time now);

/// Sets this node's own load, to be spread within its pool.
void report_own_load(control_plane& plane, std::uint32_t in_flight, std::uint32_t limit,
                     steady_time now);

// Questions.

/// The configuration in force here; version 0 before any is known. The version
/// never goes back.
const configuration_document& current_configuration(const control_plane& plane);

/// True once this node knows, since it started, that what it holds is not
/// older than what any earlier run of it could have served by.
bool configuration_confirmed(const control_plane& plane);

/// True if the platform's list shows this node as leaving: it is to stop.
bool listed_as_leaving(const control_plane& plane);

/// All nodes known, this one left out, in the order of their names.
const std::vector<member>& members(const control_plane& plane);

/// Grows whenever `members` or the configuration has changed, so that derived
/// tables can be kept until then. `avoid_until` may change without it.
std::uint64_t view_generation(const control_plane& plane);

/// Mean load of this node's pool from entries that are fresh enough, own load
/// included; empty if fewer than half of the pool's endpoints are fresh.
std::optional<double> pool_mean(const control_plane& plane, steady_time now);

/// Distinct endpoints that crashed while they ran this content.
std::uint32_t endpoints_crashed_by(const control_plane& plane, std::uint64_t fingerprint,
                                   steady_time now);

/// True if operators or the node itself took the endpoint out: its endpoint id
/// or failure domain is listed as out, or the node is leaving.
bool out_of_service(const control_plane& plane, const member& node);
bool taken_out(const configuration_document& document, const endpoint_id& endpoint,
               const failure_domain_id& domain);

/// Counters of the control plane, for metrics and measurements.
struct control_counters {
  std::uint64_t configuration_reads = 0;
  std::uint64_t vm_list_reads = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  /// Estimated MessagePack bytes.
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  /// Parts of the bytes sent: the rest is what every message has.
  std::uint64_t load_bytes_sent = 0;
  std::uint64_t rumor_bytes_sent = 0;
  std::uint64_t change_bytes_sent = 0;
  std::uint64_t invariants_broken = 0;
};

const control_counters& counters_of(const control_plane& plane);

}  // namespace chestnuthead
