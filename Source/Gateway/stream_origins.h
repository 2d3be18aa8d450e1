#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Gateway/endpoint_table.h"
#include "Gateway/service_map.h"

/// Tracks in which pool and at which software version each stream began. What two versions of an
/// endpoint's software write does not fit together, so a stream may go on only at the version
/// that began it, whichever gateway its caller takes it up at.
namespace chestnuthead::gateway {

/// The version that began a stream, by the request that began it.
struct stream_origin {
  /// Hash of the ID of the request that brought the stream's first event.
  std::uint64_t request = 0;
  std::string version;
  /// The pool that began the stream; empty in records of builds that did not write it.
  pool_id pool;
};

struct known_origin {
  std::string version;
  steady_time noted_at{};
  /// As in `stream_origin`.
  pool_id pool;
  /// This gateway forwarded the stream, and records its origin.
  bool own = false;
  /// The store holds the origin.
  bool recorded = false;
};

struct stream_origins {
  std::unordered_map<std::uint64_t, known_origin> rows;
  /// The requests in `rows`, the oldest first. A list, unlike a deque, moves without throwing,
  /// so that a vector of gateway states moves them instead of copying.
  std::list<std::uint64_t> by_age;
  /// Requests in `rows` that are to be recorded in the store.
  std::vector<std::uint64_t> unrecorded;
  /// The versions of each pool whose streams may still be taken up, with the time at which an
  /// endpoint of the version was last listed.
  std::map<pool_id, std::map<std::string, steady_time>> versions;
  /// Pools that share a route of resumable streams with other pools.
  std::set<pool_id> split_pools;
  /// Time that the list of endpoints reflects.
  steady_time endpoints_as_of{};
  /// Time that the origins and versions read from the store reflect; nothing before the first
  /// read.
  std::optional<steady_time> records_as_of;
  /// A request waits for records that are newer than `records_as_of`.
  bool records_wanted = false;
  /// A request waits for a list of endpoints that is newer than `endpoints_as_of`.
  bool endpoints_wanted = false;
};

/// How long an origin is retained after the stream's first event.
inline constexpr std::chrono::seconds origin_lifetime{30};
/// How long a version counts as one that may have begun a stream after its last endpoint was
/// listed: longer than callers wait for a stream.
inline constexpr std::chrono::seconds version_lifetime{60};
/// Maximum number of origins; at about 150 bytes each, 5 MB.
inline constexpr std::size_t max_origins = 32'768;
/// Longest time that a request waits for the origin of its stream.
inline constexpr std::chrono::milliseconds longest_origin_wait{1'000};
/// Allowance for the write of a record after its interval.
inline constexpr std::chrono::milliseconds record_write_time{200};

/// One gateway's time between two records of its streams. It grows with the fleet, so that the
/// writes of all gateways stay within a part of what the store takes.
std::chrono::milliseconds origin_record_interval(std::uint32_t gateways);

/// Records that an endpoint of the version is listed, or that the store says that one was.
/// Returns true if the version is new to the pool.
bool note_stream_version(stream_origins& table, const pool_id& pool, const std::string& version,
                         steady_time now);

/// Updates the time at which the versions were last listed. Forgets versions after
/// `version_lifetime`, and origins after `origin_lifetime`.
void update_stream_versions(stream_origins& table, const endpoint_table& endpoints,
                            steady_time now);

/// Updates `split_pools` to a configuration that has come into force. Streams that began before
/// in a pool that shares its route now are recorded, too.
void update_split_pools(stream_origins& table, const service_map& services);

/// True if streams of the pool may have begun at different versions.
bool has_several_versions(const stream_origins& table, const pool_id& pool);

/// Records that this gateway forwards the first event of a stream, or continues one.
void note_stream(stream_origins& table, const stream_origin& origin, steady_time now);

/// Adds an origin that was read from the store.
void add_recorded_origin(stream_origins& table, const stream_origin& origin, steady_time now);

/// Takes up to `most` origins that are to be recorded in the store.
std::vector<stream_origin> take_unrecorded(stream_origins& table, std::size_t most);

/// The store has, or has not, taken these origins.
void mark_recorded(stream_origins& table, const std::vector<stream_origin>& origins, bool recorded);

/// Marks all origins as possibly lost by the store.
void begin_origin_era(stream_origins& table);

/// A caller's request to go on with a stream.
struct resumption {
  /// Hash of the ID of the request that brought the first event, if the caller named it.
  std::optional<std::uint64_t> began_as;
  /// When the request arrived.
  steady_time arrived_at{};
};

/// Where the stream began, or nullptr if this gateway does not know it.
const known_origin* find_origin(const stream_origins& table, const resumption& wanted);

/// The version that began a stream of the pool: the recorded one, or the only one that the pool has
/// had. The latter must be confirmed by what the store held after the request arrived, since other
/// gateways may know of a version that this one has not seen.
std::optional<std::string> version_of_stream(const stream_origins& table, const pool_id& pool,
                                             const resumption& wanted);

/// True if the version may still become known by waiting for the store.
bool may_become_known(const stream_origins& table, const resumption& wanted, std::uint32_t gateways,
                      steady_time now);

}  // namespace chestnuthead::gateway
