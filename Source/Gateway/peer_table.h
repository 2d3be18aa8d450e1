#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/endpoint_table.h"
#include "Gateway/endpoint_words.h"
#include "Gateway/placement.h"
#include "Gateway/prefix_holders.h"
#include "Gateway/store_news.h"

/// What gateways tell each other, so that limits hold over all of them.
namespace chestnuthead::gateway {

/// Requests that one gateway has in flight at one endpoint.
struct peer_load {
  /// `endpoint::hash` of the endpoint.
  std::uint64_t endpoint = 0;
  std::uint32_t in_flight = 0;
};

/// A request that broke off together with its endpoint.
struct crash_word {
  /// Fingerprint of the request.
  std::uint64_t request = 0;
  /// `endpoint::hash` of the endpoint.
  std::uint64_t endpoint = 0;

  auto operator<=>(const crash_word&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// One gateway's news.
struct peer_word {
  node_id sender;
  /// Grows with each message of one start of the sender.
  std::uint64_t sequence = 0;
  /// Tells apart the sender's starts.
  std::uint64_t start = 0;
  std::vector<peer_load> loads;
  /// Endpoints that the sender has lost, until one of its checks is answered.
  std::vector<std::uint64_t> unreachable;
  /// Endpoints that have told the sender that they are leaving.
  std::vector<leaving_word> leaving_endpoints;
  /// Where the sender has placed prefixes since its last message.
  std::vector<prefix_word> placements;
  /// The same for shorter prefixes of these requests, where that is news.
  std::vector<prefix_word> shorter_prefixes;
  /// What the store has told the sender since its last message.
  std::vector<table_news> tables;
  /// Recent suspicions against requests.
  std::vector<crash_word> crashes;
  /// The store has confirmed the sender's configuration lately.
  bool current = false;
  /// Version of the configuration that the sender has in force; 0 if it has none.
  std::uint64_t configuration = 0;
  /// The sender's process ends in order.
  bool leaving = false;
};

/// A gateway that this one knows.
struct peer {
  /// Where it hears its peers, over UDP; empty while that is not known.
  std::string address;
  /// Listed in the platform's store.
  bool listed = false;
  steady_time listed_at{};
  steady_time heard_at{};
  peer_word word;
};

struct peer_table {
  std::map<node_id, peer> rows;
};

/// A peer's word that it has lost an endpoint.
struct loss_report {
  node_id sender;
  steady_time heard_at{};
};

/// The latest report of each endpoint, by `endpoint::hash`.
using loss_reports = std::unordered_map<std::uint64_t, loss_report>;

/// A report counts together with another peer's for so long.
inline constexpr std::chrono::seconds report_life{5};
/// Gateways that check an endpoint for all because one has lost it.
inline constexpr std::size_t checkers = 4;

/// A gateway is no longer counted once neither the store nor the gateway itself
/// has named it for this long. Counting one too many only tightens limits.
inline constexpr std::chrono::seconds peer_life{20};
/// Gateways assumed while their list was never read: about today's largest
/// fleet, so that limits shared by all hold from the first request on.
inline constexpr std::uint32_t gateways_assumed = 32;

/// Takes in a gateway's entry in the platform's store.
void list_peer(peer_table& table, const node_id& name, const std::string& address, steady_time now);

/// The gateway's entry is gone from the store: it has ended in order.
void unlist_peer(peer_table& table, const node_id& name);

/// Takes in news. False if the news is older than what is known.
bool hear_peer(peer_table& table, const peer_word& word, steady_time now);

/// Forgets gateways that are gone and returns how many are left, this one
/// included.
std::uint32_t count_gateways(peer_table& table, steady_time now);

/// Newest version of the configuration that peers which were heard lately have in force.
std::uint64_t newest_configuration(const peer_table& table, steady_time now);

/// Sets the load that the peers put on each endpoint.
void apply_peer_loads(const peer_table& table, endpoint_table& endpoints, steady_time now);

/// This gateway's loads and the endpoints that it finds unreachable or leaving.
peer_word own_word(const endpoint_table& endpoints, steady_time now);

/// True if this gateway is one of the few that tell a peer which has started
/// anew where prefixes are held: those that come first in the newcomer's
/// rendezvous order among gateways that have run for longer.
bool greets(const peer_table& table, const node_id& self, std::uint64_t own_start,
            const peer_word& newcomer, steady_time now);

/// True if this gateway is one of the few that check the endpoint for all: those that
/// come first in its rendezvous order among gateways that were heard lately.
bool checks_for_all(const peer_table& table, const node_id& self, std::uint64_t endpoint,
                    steady_time now);

/// Time between two messages to each peer: it grows with the fleet, so that a
/// gateway sends and hears about 65 messages a second however many there are.
std::chrono::milliseconds word_interval(std::uint32_t gateways);

/// Time between two messages that tell of endpoints or requests newly found bad.
inline constexpr std::chrono::milliseconds urgent_interval{700};

/// True if the message tells of an endpoint or a request that the one before it
/// did not name, so that the peers should hear of it soon.
bool is_urgent(const peer_word& word, const peer_word& before);

/// News older than this no longer counts as present: two messages fit into it.
std::chrono::milliseconds word_life(const peer_table& table);

}  // namespace chestnuthead::gateway
