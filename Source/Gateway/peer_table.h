#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/crashing_parts.h"
#include "Gateway/endpoint_reports.h"
#include "Gateway/endpoint_table.h"
#include "Gateway/placement.h"
#include "Gateway/prefix_holders.h"
#include "Gateway/rollout.h"
#include "Gateway/table_updates.h"

/// The messages that gateways exchange, so that limits apply to the sum over all gateways,
/// and the table of known peers.
namespace chestnuthead::gateway {

/// Requests that one gateway has in flight at one endpoint.
struct peer_load {
  /// `endpoint::hash` of the endpoint.
  std::uint64_t endpoint = 0;
  std::uint32_t in_flight = 0;
};

/// A request whose endpoint crashed while it executed the request.
struct crash_report {
  /// Fingerprint of the request.
  std::uint64_t request = 0;
  /// `endpoint::hash` of the endpoint.
  std::uint64_t endpoint = 0;

  auto operator<=>(const crash_report&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// A health check that an endpoint has answered, which proves that it runs.
struct check_report {
  /// `endpoint::hash` of the endpoint.
  std::uint64_t endpoint = 0;
  /// Time since the check.
  std::chrono::milliseconds age{0};
  /// For how long the endpoint is still cold; zero if it is warm.
  std::chrono::milliseconds cold_for{0};
};

/// A message from one gateway to its peers.
struct peer_message {
  node_id sender;
  /// Grows with each message of one incarnation of the sender.
  std::uint64_t sequence = 0;
  /// Start time of the sender; identifies its incarnation.
  std::uint64_t start = 0;
  std::vector<peer_load> loads;
  /// Endpoints that the sender can't reach, until they answer one of its health checks.
  std::vector<std::uint64_t> unreachable;
  /// Endpoints that have reported to the sender that they are leaving.
  std::vector<incarnation_id> leaving_endpoints;
  /// The sender's placements of prompt prefixes since its last message.
  std::vector<prefix_placement> placements;
  /// The same for shorter prefixes of these requests, if not sent recently.
  std::vector<prefix_placement> shorter_prefixes;
  /// Updates that the sender has read from the store since its last message.
  std::vector<table_update> tables;
  /// Recent crashes.
  std::vector<crash_report> crashes;
  /// Recent evidence about prompt parts that crash endpoints.
  part_reports parts;
  /// Recent health checks that prove which incarnation an endpoint runs.
  std::vector<check_report> checks;
  /// The endpoints in `loads` for which the sender can't vouch; see `can_vouch_for`. Not set by
  /// earlier builds, which vouch for none.
  std::optional<std::vector<std::uint64_t>> unvouched;
  /// Roll-outs in progress, with the sender's results since their orders.
  std::vector<rollout_report> rollouts;
  /// The store has recently confirmed the sender's configuration.
  bool current = false;
  /// Version of the configuration that the sender has in force; 0 if it has none.
  std::uint64_t configuration = 0;
  /// The sender shuts down gracefully.
  bool leaving = false;
};

/// Another gateway, known from the store or from its messages.
struct peer {
  /// UDP address at which it receives messages; empty if not known.
  std::string address;
  /// Listed in the platform's store.
  bool listed = false;
  steady_time listed_at{};
  steady_time received_at{};
  peer_message message;
};

struct peer_table {
  std::map<node_id, peer> rows;
  /// Since when the list in the store has been confirmed without interruption, and when last. While
  /// the store is away, gateways can't renew their entries.
  steady_time list_confirmed_since{};
  std::optional<steady_time> list_confirmed_at;
};

/// A peer's report that it has lost an endpoint.
struct loss_report {
  node_id sender;
  steady_time received_at{};
};

/// The latest report of each endpoint, by `endpoint::hash`.
using loss_reports = std::unordered_map<std::uint64_t, loss_report>;

/// Two peers' reports confirm each other if they arrive within this time.
inline constexpr std::chrono::seconds loss_report_lifetime{5};
/// Number of gateways that check an endpoint on behalf of all when one has lost it.
inline constexpr std::size_t designated_checkers = 4;

/// A gateway is no longer counted once it has neither been listed in the store nor sent a
/// message for this long. Counting one too many only makes limits stricter.
inline constexpr std::chrono::seconds peer_lifetime{20};
/// The same for its entry in a large fleet, whose entries are renewed less often: the interval and
/// this margin for the write and for reading it.
inline constexpr std::chrono::seconds entry_renewal_margin{8};

/// Interval at which each gateway renews its entry in the store. It grows with the fleet, because
/// each renewal is sent to all gateways.
std::chrono::milliseconds entry_renewal_interval(std::uint32_t gateways);

/// Records that the list in the store was confirmed to be complete.
void note_list_confirmed(peer_table& table, steady_time now);
/// Number of gateways assumed until their list was read: about the size of the largest
/// current fleet, so that shared limits are kept from the first request on.
inline constexpr std::uint32_t gateways_assumed = 32;

/// Applies a gateway's entry in the platform's store.
void list_peer(peer_table& table, const node_id& name, const std::string& address, steady_time now);

/// Records that the gateway's entry was removed from the store after a graceful shutdown.
void unlist_peer(peer_table& table, const node_id& name);

/// Records a message. Returns false if it is not newer than the last one from its sender.
bool record_peer_message(peer_table& table, const peer_message& message, steady_time now);

/// Discards gateways that have expired and returns the number of the others, including this
/// one.
std::uint32_t count_gateways(peer_table& table, steady_time now);

/// Newest version of the configuration that is in force at any peer, by recent messages.
std::uint64_t newest_configuration(const peer_table& table, steady_time now);

/// Sets each endpoint's load from the peers, by their recent messages.
void apply_peer_loads(const peer_table& table, endpoint_table& endpoints, steady_time now);

/// A message with this gateway's loads and its unreachable and leaving endpoints.
peer_message own_peer_message(const endpoint_table& endpoints, steady_time now);

/// True if this gateway is one of the few that send recent prefix placements to a peer that
/// has just started: the first in the newcomer's rendezvous order among the gateways that
/// have been running for longer.
bool sends_initial_placements(const peer_table& table, const node_id& self, std::uint64_t own_start,
                              const peer_message& newcomer, steady_time now);

/// True if this gateway is one of the few that check the endpoint on behalf of all: the first
/// in its rendezvous order among the gateways with recent messages.
bool is_designated_checker(const peer_table& table, const node_id& self, std::uint64_t endpoint,
                           steady_time now);

/// Number of gateways with recent messages that come before this one in the key's rendezvous
/// order.
std::uint32_t rank_among_peers(const peer_table& table, const node_id& self, std::uint64_t key,
                               steady_time now);

/// Time between two messages to each peer. It grows with the fleet, so that a gateway sends
/// and receives about 65 messages per second whatever the number of gateways.
std::chrono::milliseconds peer_message_interval(std::uint32_t gateways);

/// Shortest time between two urgent messages.
inline constexpr std::chrono::milliseconds urgent_interval{700};

/// True if the message reports a lost, leaving or checked endpoint, a crash, a prompt part
/// that crashes endpoints or a bad version that the
/// previous message did not, so that it should be sent before the next regular message.
bool is_urgent(const peer_message& message, const peer_message& before);

/// Age at which a peer's message expires: two message intervals or more, so that one lost
/// message is tolerated.
std::chrono::milliseconds peer_message_lifetime(const peer_table& table);

}  // namespace chestnuthead::gateway
