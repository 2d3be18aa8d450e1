#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "chestnuthead/clock.h"

/// Tracks which endpoints have computed a shared prompt prefix and may still cache it.
/// Gateways exchange these placements, so that a chat is sent to the same endpoint again
/// whichever gateway its next request reaches.
namespace chestnuthead::gateway {

/// One placement of a prefix at an endpoint.
struct prefix_placement {
  /// `affinity_of` the request.
  std::uint64_t prefix = 0;
  /// `endpoint::hash` of the endpoint.
  std::uint64_t endpoint = 0;

  auto operator<=>(const prefix_placement&) const = default;  // NOLINT(modernize-use-nullptr)
};

struct prefix_holder {
  std::uint64_t endpoint = 0;
  steady_time used_at{};
  /// Requests with the prefix sent to the endpoint, decaying with `use_half_life`.
  double recent_uses = 0.0;
};

struct prefix_holders {
  std::unordered_map<std::uint64_t, std::vector<prefix_holder>> rows;
  /// Own placements that have not been sent to the peers yet.
  std::vector<prefix_placement> unsent_placements;
  /// The same for the shorter prefixes of placed requests.
  std::vector<prefix_placement> unsent_shorter_placements;
};

/// How long a placement is retained after its last use: under load, an engine's cache rarely
/// keeps a prefix for longer.
inline constexpr std::chrono::seconds holder_lifetime{60};
/// Half-life of `prefix_holder::recent_uses`.
inline constexpr std::chrono::seconds use_half_life{2};
/// Maximum number of prefixes; at about 100 bytes each, 2 MB.
inline constexpr std::size_t max_prefixes = 16'384;
/// Maximum number of placements sent to the peers in one message.
inline constexpr std::size_t max_unsent = 256;

/// Records that this gateway has sent a request with the prefix to the endpoint.
void record_own_placement(prefix_holders& table, const prefix_placement& placement,
                          steady_time now);

/// The same for a shorter prefix of the request. It is recorded and sent to the peers at most
/// once per half `holder_lifetime` and endpoint, as most requests share their first parts
/// with many others.
void record_own_shorter_prefix(prefix_holders& table, const prefix_placement& placement,
                               steady_time now);

/// Records a placement without sending it to the peers, as it came from one of them.
void record_placement(prefix_holders& table, const prefix_placement& placement, steady_time now);

/// Removes the endpoint from all holders after it has restarted or was removed.
void drop_holder(prefix_holders& table, std::uint64_t endpoint);

/// Endpoints that may hold the prefix, the most recently used first.
std::vector<std::uint64_t> holders_of(const prefix_holders& table, std::uint64_t prefix,
                                      steady_time now);

/// Requests per second with the prefix, over all gateways as far as known.
double use_rate(const prefix_holders& table, std::uint64_t prefix, steady_time now);

/// Up to `most` placements, the most recently used first, for a gateway that has just started.
std::vector<prefix_placement> recent_placements(const prefix_holders& table, std::size_t most);

/// Discards placements that have expired. Call it every few seconds.
void drop_unused(prefix_holders& table, steady_time now);

}  // namespace chestnuthead::gateway
