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

#include "Base/table_call.h"

/// The control plane that routers and agents embed: configuration updates, cluster
/// membership, and dissemination of rumors and endpoint loads by gossip. It does no
/// I/O: event handlers take the current time and return what to send.
namespace chestnuthead {

/// A node of the fleet as seen by this node.
struct member {
  vm_entry vm;
  /// True if the VM list or the node itself announced that it is leaving.
  bool leaving = false;
  /// True if the node announced itself as serving, possibly before the VM list
  /// shows it.
  bool announced = false;
  /// Backoff after failed connections: the node is not chosen before this time.
  steady_time avoid_until{};
};

/// A gossip message for the caller to send.
struct outgoing_gossip {
  node_id to;
  std::string address;
  gossip_message message;
};

/// A violated invariant of the control plane. `name` is one of a fixed set of
/// names.
struct broken_invariant {
  std::string name;
  std::string detail;
};

struct control_output {
  std::vector<outgoing_gossip> messages;
  std::vector<table_call> table_calls;
  bool read_vm_list = false;
  std::vector<broken_invariant> broken;
};

struct control_plane;

struct control_plane_deleter {
  void operator()(control_plane* plane) const;
};

using control_plane_ptr = std::unique_ptr<control_plane, control_plane_deleter>;

/// `self` is this node's entry as the VM list will show it. An endpoint has the
/// same name as its agent's node. `random` must outlive the result.
control_plane_ptr make_control_plane(const vm_entry& self, random_source& random);

// Event handlers. Each returns the messages and reads that the caller must issue.
control_output control_tick(control_plane& plane, steady_time now);
control_output handle_table_reply(control_plane& plane, std::uint64_t ticket,
                                  const table_reply& reply, steady_time now);
control_output handle_vm_list(control_plane& plane, const vm_list_reply& reply, steady_time now);
control_output handle_gossip(control_plane& plane, const gossip_message& message, steady_time now);

/// Records the configuration version that a peer's request or answer carried. If it
/// is newer than the active one, the next tick requests it from that peer.
void note_peer_version(control_plane& plane, const node_id& peer, std::uint64_t version);

/// Records a failed connection to `node`, which is then avoided with exponential
/// backoff.
void note_link_failed(control_plane& plane, const node_id& node, steady_time now);
/// Records that `node` answered, which ends the backoff.
void note_link_recovered(control_plane& plane, const node_id& node);

/// Starts spreading a rumor that originates at this node. For `node_serving` of
/// this node the detail is filled in here; a fingerprint is passed as a decimal
/// number.
void start_rumor(control_plane& plane, rumor_kind kind, const std::string& subject,
                 const std::string& detail, steady_time now);

/// Sets this node's own load, which is gossiped within its pool.
void report_own_load(control_plane& plane, std::uint32_t in_flight, std::uint32_t limit,
                     steady_time now);

// Queries.

/// The active configuration; version 0 until one has been received. The version
/// never decreases.
const configuration_document& current_configuration(const control_plane& plane);

/// True once a read that began after this node started has shown that its
/// configuration is at least as new as any that an earlier run of the node may have
/// used.
bool configuration_confirmed(const control_plane& plane);

/// True if the platform's VM list marks this node as leaving, so that it must stop.
bool listed_as_leaving(const control_plane& plane);

/// All known nodes except this one, sorted by name.
const std::vector<member>& members(const control_plane& plane);

/// A generation number that grows with every change of `members` or of the
/// configuration, for invalidating derived tables. Changes of `avoid_until` don't
/// count.
std::uint64_t view_generation(const control_plane& plane);

/// Mean load of this node's pool, own load included, from entries that have not
/// expired; empty if fewer than half of the pool's endpoints have one.
std::optional<double> pool_mean(const control_plane& plane, steady_time now);

/// Number of distinct endpoints that crashed while running a request with this
/// fingerprint.
std::uint32_t endpoints_crashed_by(const control_plane& plane, std::uint64_t fingerprint,
                                   steady_time now);

/// True if the node must get no new work: it is leaving, or the configuration takes
/// its endpoint or failure domain out of service.
bool is_out_of_service(const control_plane& plane, const member& node);
bool is_taken_out(const configuration_document& document, const endpoint_id& endpoint,
                  const failure_domain_id& domain);

/// Counters of the control plane, for metrics and measurements.
struct control_counters {
  std::uint64_t configuration_reads = 0;
  std::uint64_t vm_list_reads = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  /// Estimated size in MessagePack encoding.
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  /// Portions of `bytes_sent`; the remainder is fixed per-message overhead.
  std::uint64_t load_bytes_sent = 0;
  std::uint64_t rumor_bytes_sent = 0;
  std::uint64_t change_bytes_sent = 0;
  std::uint64_t invariants_broken = 0;
};

const control_counters& counters_of(const control_plane& plane);

}  // namespace chestnuthead
