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

#include "Gateway/request.h"
#include "Gateway/service_map.h"

/// The endpoints that a gateway knows, with what it has learnt of each.
namespace chestnuthead::gateway {

/// An endpoint as the platform lists it.
struct endpoint_listing {
  endpoint_id name;
  pool_id pool;
  /// IP number and port.
  std::string address;
  failure_domain_id failure_domain;
  /// The endpoint takes no new work.
  bool leaving = false;
  std::uint32_t slots = 0;
  /// How much longer the endpoint stays cold.
  std::chrono::milliseconds cold_for{0};
  /// Start of this incarnation, in Unix milliseconds; 0 if not said.
  std::int64_t started = 0;
  /// Grows with the endpoint's heartbeats since its start; 0 if not said.
  std::uint64_t heartbeat = 0;
};

/// Results of the requests sent to an endpoint.
struct endpoint_record {
  /// Failures since the last success.
  std::uint32_t failures_in_row = 0;
  /// Shares of failed and of all recent requests, both fading.
  double recent_failures = 0.0;
  double recent_requests = 0.0;
  steady_time faded_at{};
  /// Times in a row that the endpoint was set aside.
  std::uint32_t times_set_aside = 0;
  /// No requests before this time.
  steady_time set_aside_until{};
  /// The endpoint must answer a health check before it gets requests again.
  bool needs_check = false;
  /// This gateway itself did not reach the endpoint, and has not since.
  bool lost = false;
  /// Latest good answer to a request or a health check.
  steady_time good_at{};
};

/// One endpoint.
struct endpoint {
  endpoint_listing listing;
  /// Hash of the endpoint's name, for rendezvous placement.
  std::uint64_t hash = 0;
  /// False once the platform no longer lists it.
  bool listed = true;
  /// The entry is missing, but counts as listed until this time.
  std::optional<steady_time> missing_until;
  /// The endpoint answered at its address under another name.
  bool misplaced = false;
  steady_time cold_until{};
  /// Requests of this gateway that the endpoint has not answered.
  std::uint32_t in_flight = 0;
  /// Requests in flight from the other gateways, by their latest word.
  double peers_in_flight = 0.0;
  /// Requests that all gateways have sent to the endpoint, as far as heard, fading
  /// with `arrivals_half_life` since `arrivals_at`.
  double arrivals = 0.0;
  steady_time arrivals_at{};
  /// Earliest time for this gateway's next request while the endpoint is cold.
  steady_time next_cold_request{};
  /// Latest time at which the endpoint itself told this gateway that it is leaving, and
  /// at which a peer to which it did has said so.
  std::optional<steady_time> said_leaving_at;
  std::optional<steady_time> peer_said_leaving_at;
  /// The endpoint has asked this gateway to send it nothing before this time.
  steady_time paused_until{};
  endpoint_record record;
};

/// The last entry of an endpoint that the platform has ceased to list.
struct gone_endpoint {
  std::int64_t started = 0;
  std::uint64_t heartbeat = 0;
  steady_time gone_at{};
  /// The entry has been seen again since, in a copy of the platform's list.
  bool in_copy = false;
};

struct endpoint_table {
  std::map<endpoint_id, endpoint> rows;
  /// Endpoints that went lately.
  std::map<endpoint_id, gone_endpoint> gone;
  /// Rows by pool, in the order of their names.
  std::map<pool_id, std::vector<endpoint*>> by_pool;
  /// Rows by `endpoint::hash`.
  std::unordered_map<std::uint64_t, endpoint*> by_hash;
};

/// Takes in the platform's entry for one endpoint. An endpoint that started
/// anew loses all that was known of its earlier life. True if it is new or did.
bool list_endpoint(endpoint_table& table, const endpoint_listing& listing, steady_time now);

/// How long an endpoint that is gone is remembered: longer than a copy is old and than the
/// platform then lists one that is silent.
inline constexpr std::chrono::seconds gone_memory{20};

/// True if the entry is older than what is known of the endpoint: it has told more
/// heartbeats since, or its entry was removed. `copied_at` is when the platform last came
/// back from a copy of its list, which may hold such entries: one that was removed counts
/// again only once a heartbeat more than in the copy shows that the endpoint lives.
bool is_outdated(endpoint_table& table, const endpoint_listing& listing,
                 std::optional<steady_time> copied_at, steady_time now);

/// How long after the platform's return an entry may be missing that lapsed
/// while the platform was away: endpoints that live are listed again within
/// about two seconds.
inline constexpr std::chrono::milliseconds missing_grace{2'300};

/// The platform no longer lists the endpoint. It counts as gone from
/// `gone_at` on, unless it is listed again before.
void unlist_endpoint(endpoint_table& table, const endpoint_id& name, steady_time gone_at,
                     steady_time now);

/// Time between two walks over all endpoints: it grows with their number, so that the
/// walks take the same part of a processor in any fleet.
std::chrono::milliseconds walk_interval(const endpoint_table& table);

/// Ends the grace of entries that are still missing.
void end_grace(endpoint_table& table, steady_time now);

/// Forgets unlisted endpoints that have no requests left, and those gone for long.
void forget_unlisted(endpoint_table& table, steady_time now);

/// The endpoint of that name, or nullptr.
endpoint* find_endpoint(endpoint_table& table, const endpoint_id& name);

/// The pool's endpoints.
const std::vector<endpoint*>& endpoints_of(const endpoint_table& table, const pool_id& pool);

/// How long an endpoint's word that it is leaving counts where its entry does not tell its
/// starts apart: it may have started again under its name.
inline constexpr std::chrono::seconds leaving_word_life{60};

/// True if the endpoint takes no new work, by its entry or by its own word. Its word holds
/// for the rest of its life, whatever an entry that is late says.
bool is_leaving(const endpoint& row, steady_time now);

/// True while the endpoint is still warming up.
bool is_cold(const endpoint& row, steady_time now);

/// Requests in flight at the endpoint from all gateways, as far as known.
double load_of(const endpoint& row);

/// Requests sent to an endpoint count half after this time.
inline constexpr std::chrono::seconds arrivals_half_life{2};

/// A gateway has sent a request to the endpoint.
void note_arrival(endpoint& row, steady_time now);

/// Recent requests to the endpoint.
double recent_arrivals(const endpoint& row, steady_time now);

/// The endpoint has said how many requests it holds: that replaces what the peers
/// told, which is older, until their next news.
void note_load(endpoint& row, std::uint32_t load);

}  // namespace chestnuthead::gateway
