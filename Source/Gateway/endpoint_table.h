#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/request.h"
#include "Gateway/service_map.h"
#include "Overload/pool_capacity.h"

/// The endpoints that a gateway can send to, with their state as seen by this gateway.
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
  /// Remaining time for which the endpoint is cold.
  std::chrono::milliseconds cold_for{0};
  /// Start of this incarnation, in Unix milliseconds; 0 if not reported.
  std::int64_t started = 0;
  /// Number that grows with each heartbeat since the endpoint's start; 0 if not reported.
  std::uint64_t heartbeat = 0;
  /// Version of the endpoint's software; empty if not reported.
  std::string version;
};

/// Names one start of an endpoint.
struct incarnation_id {
  /// `endpoint::hash` of the endpoint.
  std::uint64_t endpoint = 0;
  /// `endpoint_listing::started` of the endpoint.
  std::int64_t started = 0;

  auto operator<=>(const incarnation_id&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// When an incarnation last reported that it is leaving.
struct leaving_record {
  /// In an answer to this gateway.
  std::optional<steady_time> reported_at;
  /// To a peer, which has forwarded the report.
  std::optional<steady_time> peer_reported_at;
  /// When a row last described the incarnation, or the latest report if none has since.
  steady_time needed_at{};
};

/// Health of an endpoint, from the results of its requests and health checks.
struct endpoint_record {
  /// Failures since the last success.
  std::uint32_t failures_in_row = 0;
  /// Failed requests and all requests, both with exponential decay.
  double recent_failures = 0.0;
  double recent_requests = 0.0;
  steady_time faded_at{};
  /// Ejections since the endpoint last worked reliably.
  std::uint32_t ejections_in_row = 0;
  /// The endpoint receives no requests before this time.
  steady_time ejected_until{};
  /// The endpoint must answer a health check before it receives requests again.
  bool needs_check = false;
  /// This gateway failed to reach the endpoint and hasn't reached it since.
  bool lost = false;
  /// Latest good answer to a request or a health check.
  steady_time good_at{};
};

/// An entry of an incarnation that started earlier than the latest one known. It is either
/// outdated, or the endpoint's clock was set back before its latest start.
struct earlier_entry {
  std::int64_t started = 0;
  std::uint64_t heartbeat = 0;
  steady_time seen_at{};
  /// When the platform's list had last been restored from a copy.
  std::optional<steady_time> copied_at;
};

/// Whether and how often this gateway may send to an endpoint while that is cold; see
/// Gateway/cold_pacing.h.
struct cold_pacing {
  /// False until `update_cold_pacing` has run since the endpoint turned cold.
  bool is_decided = false;
  /// Decided for an endpoint that was not known to be cold.
  bool is_for_doubt = false;
  bool is_sender = false;
  /// Minimum time between two requests.
  std::chrono::milliseconds interval{0};
  /// Earliest time for the next request.
  steady_time next_at{};
  /// The latest request.
  std::optional<steady_time> sent_at;
};

/// Why the process at an endpoint's address may not be the incarnation that this gateway takes it
/// for; see Gateway/incarnation_proof.h.
enum class incarnation_doubt : std::uint8_t {
  none,
  /// It may have started again, and be cold.
  may_have_restarted,
  /// It was removed, and the entry that lists it again may be a delayed one.
  may_have_left,
};

/// Whether something has shown that the endpoint still runs its listed incarnation.
struct incarnation_proof {
  incarnation_doubt doubt = incarnation_doubt::none;
  /// Only what happened after this time is a proof.
  steady_time doubted_at{};
  /// When this gateway may check the endpoint's health for a proof; not set until
  /// `schedule_proof_checks` has run.
  std::optional<steady_time> check_at;
  /// This gateway's latest health check that was a proof.
  std::optional<steady_time> checked_at;
};

struct endpoint {
  endpoint_listing listing;
  /// Hash of the endpoint's name, for rendezvous placement.
  std::uint64_t hash = 0;
  /// False once the platform no longer lists the endpoint.
  bool listed = true;
  /// If set, the platform's entry is missing, but the endpoint counts as listed until this time.
  std::optional<steady_time> missing_until;
  /// Seen since the latest entry of the known incarnation.
  std::optional<earlier_entry> earlier;
  /// Another endpoint answered at this endpoint's address.
  bool misplaced = false;
  steady_time cold_until{};
  incarnation_proof proof;
  /// Since when this gateway has had at least one open connection to the endpoint.
  std::optional<steady_time> contact_since;
  /// Requests from this gateway that the endpoint has not answered.
  std::uint32_t in_flight = 0;
  /// Requests in flight from the other gateways, as last reported.
  double peers_in_flight = 0.0;
  /// Requests that all gateways are known to have sent to the endpoint, decaying with
  /// `arrivals_half_life` since `arrivals_at`.
  double arrivals = 0.0;
  steady_time arrivals_at{};
  cold_pacing pacing;
  /// Copy of the incarnation's record in `endpoint_table::leaving`. Without a start time in its
  /// entry the endpoint has a record here only.
  leaving_record reported_leaving;
  /// The endpoint has requested that this gateway send no requests before this time.
  steady_time paused_until{};
  endpoint_record record;
  /// The endpoint's latest report about the speed of its VM.
  overload::vm_report vm;
  /// Tokens of this gateway's requests in flight, counted in pools under overload control.
  double tokens_in_flight = 0.0;
  /// When the endpoint last sent this gateway any part of an answer.
  steady_time heard_at{};
  /// When the endpoint was listed again after its removal, until a request is sent to it.
  std::optional<steady_time> restored_at;
};

/// An endpoint that the platform no longer lists. What is known of an incarnation holds until a
/// later one starts: a delayed entry, or one of a restored copy, may list the endpoint again.
struct gone_endpoint {
  /// Its last row.
  endpoint last;
  /// Highest heartbeat seen, also in entries that were ignored.
  std::uint64_t heartbeat = 0;
  steady_time gone_at{};
  /// The entry has since appeared again, in an outdated copy of the platform's list.
  bool in_copy = false;
  std::optional<earlier_entry> earlier;
};

struct endpoint_table {
  std::map<endpoint_id, endpoint> rows;
  /// Endpoints that were removed recently, by `endpoint::hash`.
  std::unordered_map<std::uint64_t, gone_endpoint> gone;
  /// Incarnations that have reported that they are leaving. Kept apart from the rows, so that no
  /// change to the platform's list ends a report.
  std::map<incarnation_id, leaving_record> leaving;
  /// Rows by pool, in the order of their names.
  std::map<pool_id, std::vector<endpoint*>> by_pool;
  /// Rows by `endpoint::hash`.
  std::unordered_map<std::uint64_t, endpoint*> by_hash;
};

/// How long a removed endpoint is remembered unless a later incarnation starts before: for longer
/// than a leaving endpoint serves and than any pause that it can request. Time for which this
/// gateway did not run does not count; see `extend_retention`.
inline constexpr std::chrono::minutes incarnation_retention{10};
/// Most removed endpoints that are remembered, about 700 bytes each. The oldest are discarded
/// first.
inline constexpr std::size_t max_gone_endpoints = 4'096;
/// Most reports that are kept, about 100 bytes each. Those that were needed last are kept.
inline constexpr std::size_t max_leaving_records = 16'384;

/// What an entry changed about its endpoint.
enum class listing_effect : std::uint8_t {
  /// The endpoint was listed before, with the same incarnation.
  renewed,
  /// The endpoint was removed before; what is known of its incarnation is in force again.
  restored,
  /// Another incarnation of the endpoint was known.
  replaced,
  /// Nothing was known of the endpoint.
  added,
};

std::string_view name_of(listing_effect effect);

/// True if nothing was known of the listed incarnation.
bool is_new_incarnation(listing_effect effect);

/// Applies the platform's entry for one endpoint. All that is known of its incarnation stays in
/// force, also if the endpoint was removed in between; the state of an earlier incarnation is
/// discarded. Without a start time in the entry, the incarnation ends with its removal. The entry
/// was written after `written_after`, or at any time before if that is not set: then the endpoint
/// may have started again since.
listing_effect list_endpoint(endpoint_table& table, const endpoint_listing& listing,
                             std::optional<steady_time> written_after, steady_time now);

/// The same for an entry that was just written.
listing_effect list_endpoint(endpoint_table& table, const endpoint_listing& listing,
                             steady_time now);

/// How long a copy from which the platform was restored can list a removed endpoint: longer than
/// the age of the copy plus the time for which the platform then lists an endpoint that sends no
/// heartbeats.
inline constexpr std::chrono::seconds gone_retention{20};

/// True if the entry is older than the known state of the endpoint: a later start or a later
/// heartbeat was seen, also before its removal. `copied_at` is when the platform's list was last
/// restored from a copy, which may contain removed entries. In a copy a removed entry counts again
/// only once a heartbeat later than the one in the copy shows that the endpoint is running. The
/// same holds for any entry with an earlier start, as the endpoint's clock may have been set back;
/// entries whose heartbeats do not grow count after `gone_retention`, when no copy can contain them
/// any more.
bool is_outdated(endpoint_table& table, const endpoint_listing& listing,
                 std::optional<steady_time> copied_at, steady_time now);

/// How long after the platform's return an entry that expired during the outage may be
/// missing: running endpoints are listed again within about two seconds.
inline constexpr std::chrono::milliseconds missing_grace{2'300};

/// Records that the platform no longer lists the endpoint. The endpoint counts as removed
/// from `gone_at` on, unless it is listed again before.
void unlist_endpoint(endpoint_table& table, const endpoint_id& name, steady_time gone_at,
                     steady_time now);

/// Time between two periodic scans of all endpoints. It grows with their number, so that the
/// share of CPU time spent on scans does not depend on the fleet's size.
std::chrono::milliseconds scan_interval(const endpoint_table& table);

/// Removes endpoints whose entries are still missing at the end of their grace period, and returns
/// their names.
std::vector<endpoint_id> expire_missing(endpoint_table& table, steady_time now);

/// Moves unlisted endpoints without requests in flight to `gone`, and discards those that were
/// removed `incarnation_retention` ago, and the reports of incarnations without a row since then.
void drop_unlisted(endpoint_table& table, steady_time now);

/// Keeps what is known of removed and leaving endpoints for longer by the time for which this
/// gateway did not run: the platform may have been suspended with it, and then performs calls that
/// were delayed before. To be called before `drop_unlisted`.
void extend_retention(endpoint_table& table, steady_time::duration interruption, steady_time now);

/// Returns the endpoint with that name, or nullptr.
endpoint* find_endpoint(endpoint_table& table, const endpoint_id& name);

/// Returns the endpoint's row if it describes that incarnation, or nullptr.
endpoint* find_incarnation(const endpoint_table& table, const incarnation_id& incarnation);

incarnation_id incarnation_of(const endpoint& row);

/// True if an endpoint of the pool with this software version is listed.
bool is_listed(const endpoint_table& table, const pool_id& pool, const std::string& version);

const std::vector<endpoint*>& endpoints_of(const endpoint_table& table, const pool_id& pool);

/// Records that the incarnation has reported that it is leaving, to this gateway directly or to a
/// peer. It need not be the one that is listed. Returns true if it has not done so before.
bool record_leaving(endpoint_table& table, const incarnation_id& incarnation, bool to_peer,
                    steady_time now);

/// The reports of the incarnation that the row describes.
leaving_record leaving_record_of(const endpoint_table& table, const endpoint& row);

/// How long a report that an endpoint is leaving is valid if its entry carries no start time:
/// the endpoint may have restarted under the same name.
inline constexpr std::chrono::seconds leaving_report_lifetime{60};

/// True if the report of an incarnation with this start time, if there is one, is still valid.
bool is_valid_report(const std::optional<steady_time>& reported_at, std::int64_t started,
                     steady_time now);

/// True if the endpoint has reported, to this gateway or a peer, that it is leaving. The report is
/// valid for the rest of its incarnation, even if a delayed entry contradicts it.
bool has_reported_leaving(const endpoint& row, steady_time now);

/// The same for an incarnation that need not be listed.
bool has_reported_leaving(const endpoint_table& table, const incarnation_id& incarnation,
                          steady_time now);

/// True if the endpoint takes no new work, according to its entry or to its own report.
bool is_leaving(const endpoint& row, steady_time now);

/// True while the endpoint is still warming up.
bool is_cold(const endpoint& row, steady_time now);

/// True if the endpoint is cold, or may be because it may have started again.
bool counts_as_cold(const endpoint& row, steady_time now);

/// Requests in flight at the endpoint from all gateways, as far as known to this one.
double load_of(const endpoint& row);

/// Half-life of `endpoint::arrivals`.
inline constexpr std::chrono::seconds arrivals_half_life{2};

/// Counts a request that any gateway has sent to the endpoint.
void note_arrival(endpoint& row, steady_time now);

/// The decayed number of recent requests to the endpoint.
double recent_arrivals(const endpoint& row, steady_time now);

/// Applies the number of requests that the endpoint reports. It replaces the loads that the
/// peers have reported, which are older, until their next messages.
void note_load(endpoint& row, std::uint32_t load);

}  // namespace chestnuthead::gateway
