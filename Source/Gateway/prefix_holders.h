#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "chestnuthead/clock.h"

/// Remembers which endpoints have computed a shared prefix and may still cache
/// it. Gateways tell each other, so that a chat finds its endpoint again
/// through whichever gateway it returns.
namespace chestnuthead::gateway {

/// News of one placement.
struct prefix_word {
  /// `affinity_of` the request.
  std::uint64_t prefix = 0;
  /// `endpoint::hash` of the endpoint.
  std::uint64_t endpoint = 0;

  auto operator<=>(const prefix_word&) const = default;  // NOLINT(modernize-use-nullptr)
};

struct prefix_holder {
  std::uint64_t endpoint = 0;
  steady_time used_at{};
  /// Requests with the prefix that went to the endpoint, fading with
  /// `use_half_life`.
  double recent_uses = 0.0;
};

struct prefix_holders {
  std::unordered_map<std::uint64_t, std::vector<prefix_holder>> rows;
  /// Own placements that the peers have not heard of yet.
  std::vector<prefix_word> news;
  /// The same for the shorter prefixes of placed requests.
  std::vector<prefix_word> shorter_news;
};

/// How long a placement is remembered after its last use: an engine's cache
/// rarely keeps a prefix longer under load.
inline constexpr std::chrono::seconds holder_life{60};
/// Uses count half after this time.
inline constexpr std::chrono::seconds use_half_life{2};
/// Prefixes that are remembered at most; at some 100 bytes each, about 2 MB.
inline constexpr std::size_t prefixes_kept = 16'384;
/// Placements told to the peers in one message at most.
inline constexpr std::size_t news_kept = 256;

/// This gateway has sent a request with the prefix to the endpoint.
void note_placement(prefix_holders& table, const prefix_word& word, steady_time now);

/// The same for a shorter prefix of the request. It is told once in a while only, as most
/// requests share their first parts with many others.
void note_shorter_prefix(prefix_holders& table, const prefix_word& word, steady_time now);

/// Another gateway has done so.
void hear_placement(prefix_holders& table, const prefix_word& word, steady_time now);

/// The endpoint has started anew or is gone: it holds nothing.
void forget_endpoint(prefix_holders& table, std::uint64_t endpoint);

/// Endpoints that may hold the prefix, the one used last first.
std::vector<std::uint64_t> holders_of(const prefix_holders& table, std::uint64_t prefix,
                                      steady_time now);

/// Requests a second with the prefix over all gateways, as far as heard.
double use_rate(const prefix_holders& table, std::uint64_t prefix, steady_time now);

/// Placements for a gateway that knows none, those used last first.
std::vector<prefix_word> recent_placements(const prefix_holders& table, std::size_t most);

/// Drops what was not used for long. Call it every few seconds.
void forget_unused(prefix_holders& table, steady_time now);

}  // namespace chestnuthead::gateway
