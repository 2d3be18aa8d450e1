#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/endpoint_table.h"
#include "Gateway/rollout_evidence.h"

/// Roll-outs: operators' orders to move a pool's traffic to endpoints of another software
/// version, their agreed outcomes, and the versions that requests may be sent to.
namespace chestnuthead::gateway {

enum class rollout_phase : std::uint8_t {
  in_progress,
  /// The new version takes all traffic; the old endpoints are stopped.
  completed,
  /// The old version keeps the traffic; the new endpoints leave.
  rolled_back,
};

std::string_view name_of(rollout_phase phase);

/// Identifies an order. The store repeats a lost order under another row version, but only in
/// a new era.
struct rollout_order_id {
  std::uint64_t row_version = 0;
  std::uint64_t era = 0;

  auto operator<=>(const rollout_order_id&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// An operator's order as read from the store.
struct rollout_order {
  pool_id pool;
  /// The version that is to take the pool's traffic.
  std::string to;
  /// Time from the order to its deadline.
  std::chrono::milliseconds duration{0};
  rollout_order_id id;
};

/// What all gateways have agreed on about an order. It is stored in one row, which is only
/// written on the condition that nobody else has written it since it was read.
struct rollout_record {
  rollout_order_id order;
  std::string to;
  std::chrono::milliseconds duration{0};
  /// Start of the order by the store's clock; not later than the operator's write.
  std::chrono::milliseconds begun_at{0};
  rollout_phase phase = rollout_phase::in_progress;
  /// Why the roll-out ended.
  std::string reason;
  /// Versions that earlier roll-outs have retired or rejected, oldest first.
  std::vector<std::string> excluded;
};

/// One pool's roll-out as seen by this gateway.
struct rollout {
  std::optional<rollout_order> order;
  std::optional<rollout_record> record;
  /// Row version of the stored record; 0 if the store has none.
  std::uint64_t record_version = 0;
  /// The store may have lost the record: it was restored from a copy.
  bool record_unconfirmed = false;
  /// Lower bound of the time of the operator's write, by this gateway's clock.
  steady_time ordered_after{};
  /// When this gateway first knew of the order.
  steady_time known_since{};
  /// The record's start, by this gateway's clock.
  std::optional<steady_time> record_begun_at;
  /// When the record was read.
  steady_time record_read_at{};
  /// The new version was found bad, by this gateway or by a peer: it gets no more requests.
  bool found_bad = false;
  /// Why, for the record and the log.
  std::string bad_because;
  /// Requests of this gateway that were sent to the pool since the order, resends included,
  /// and those of them that went to the new version.
  std::uint64_t sends = 0;
  std::uint64_t sends_to_new = 0;
  /// The same as `sends`, but with exponential decay since `recent_sends_at`.
  double recent_sends = 0.0;
  steady_time recent_sends_at{};
  /// `sends` by hash of the route's name.
  std::map<std::uint64_t, std::uint64_t> sends_by_route;
  /// Results at this gateway.
  evidence_counts evidence;
  /// The latest results of each peer, and the sum of all that peers have reported.
  std::map<node_id, evidence_counts> peers;
  evidence_counts peers_total;
  /// Summed results of all gateways at the last evaluation and at the starts of the two latest
  /// periods of evaluation.
  evidence_counts total;
  evidence_counts period_start;
  evidence_counts period_before;
  steady_time period_began{};
  /// When this gateway first wanted to write the step that is due, and the earliest time of
  /// its next write.
  std::optional<steady_time> wanted_since;
  steady_time next_write_at{};
};

/// When a pool's versions were first listed.
struct version_seen {
  steady_time listed_at{};
  /// Listed since a time at which no order for it existed, or the only version of its pool.
  bool accepted = false;
};

struct rollout_table {
  std::map<pool_id, rollout> rows;
  /// The stored records were read.
  bool records_known = false;
  /// Versions of each pool's endpoints.
  std::map<pool_id, std::map<std::string, version_seen>> versions;
};

/// Duration of an order that names none, or one outside of `max_rollout_duration`.
inline constexpr std::chrono::seconds default_rollout_duration{60};
inline constexpr std::chrono::hours max_rollout_duration{24};
/// Most versions in `rollout_record::excluded`.
inline constexpr std::size_t excluded_versions_kept = 16;

/// One gateway's knowledge about a roll-out, as sent to its peers.
struct rollout_report {
  rollout_order order;
  bool found_bad = false;
  /// Why, if the version was found bad.
  std::string reason;
  evidence_counts evidence;
};

/// True if both orders are the same: one row, or its repetition in another era of the store.
bool is_same_order(const rollout_order& one, const rollout_order& other);

/// Applies an order. `read_after` is a time by this gateway's clock before which the order
/// was not written. Returns true if the order is new to this gateway.
bool apply_rollout_order(rollout_table& table, const rollout_order& order, steady_time read_after,
                         steady_time now);

/// Applies the removal of an order by the operator.
void remove_rollout_order(rollout_table& table, const pool_id& pool);

/// Applies the stored record of a pool. `begun_at` is the record's time by this gateway's
/// clock, if it can be converted. Returns true if the phase or the order has changed.
bool apply_rollout_record(rollout_table& table, const pool_id& pool, const rollout_record& record,
                          std::uint64_t row_version, std::optional<steady_time> begun_at,
                          steady_time now);

/// Marks all records as possibly lost by the store.
void begin_rollout_era(rollout_table& table);

/// Records that an endpoint of this version is listed.
void note_version(rollout_table& table, const pool_id& pool, const std::string& version,
                  steady_time now);

/// Accepts the versions that were listed when the orders were read and contained none for
/// them. `orders_as_of` is the time that the gateway's copy of the orders reflects.
void accept_versions(rollout_table& table, steady_time orders_as_of);

/// Forgets versions without endpoints.
void forget_versions(rollout_table& table, const endpoint_table& endpoints);

/// True if the pool has an order whose outcome is not agreed yet.
bool is_in_progress(const rollout& row);

/// True if the record belongs to the present order.
bool is_record_of_order(const rollout& row);

/// Start of the order by this gateway's clock; not later than the operator's write. All
/// gateways use the record's as soon as it is known.
steady_time begun_at(const rollout& row);

/// True if the ordered version is the only one in use, so that the order changes nothing. Once
/// the record is written it tells whether this was so.
bool is_in_use(const rollout_table& table, const rollout& row);

/// Deadline of the order by this gateway's clock; not later than the operator's.
steady_time deadline_of(const rollout& row);

/// The endpoints of a pool that one request may be sent to.
struct version_scope {
  enum class kind : std::uint8_t {
    /// Any accepted version.
    accepted,
    /// Accepted versions other than `version` and the excluded ones.
    old_versions,
    /// Only `version`.
    new_version,
  };
  kind allowed = kind::accepted;
  std::string version;
  std::vector<std::string> excluded;
  /// `endpoint::hash` of the endpoints to which the scope is limited; all if empty.
  std::vector<std::uint64_t> only;
  /// The version that began the request's stream, if that has begun.
  std::optional<std::string> begun_at;
  /// Versions of the pool, or nullptr if it has only one.
  const std::map<std::string, version_seen>* seen = nullptr;
};

/// True if a request with this scope may be sent to the endpoint.
bool in_scope(const endpoint& row, const version_scope& scope);

/// The scope of a request that does not try a new version.
version_scope settled_scope(const rollout_table& table, const pool_id& pool);

/// The scope of a request that may only be sent to the new version of the order.
version_scope new_version_scope(const rollout_order& order);

/// True if no gateway may send to the endpoint any more: its version was rejected or retired.
bool is_retired(const rollout_table& table, const endpoint& row);

}  // namespace chestnuthead::gateway
