#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/gossip.h"
#include "chestnuthead/ids.h"

/// Rumors that this node has received. Each is forwarded a limited number of times
/// and retained long enough to recognise duplicates.
namespace chestnuthead {

/// Rumors older than this are neither forwarded nor accepted from peers.
inline constexpr std::chrono::seconds rumor_spread_age{60};
/// How long rumors are retained to recognise duplicates.
inline constexpr std::chrono::seconds rumor_retention{150};
/// Maximum number of retained rumors; the oldest are evicted first.
inline constexpr std::size_t rumor_limit = 1'024;

/// Identifies a rumor. Sequence numbers are compared for equality only, since an
/// origin starts at a random number after each restart.
struct rumor_name {
  node_id origin;
  std::uint64_t sequence = 0;
  std::string subject;

  auto operator<=>(const rumor_name&) const = default;  // NOLINT(modernize-use-nullptr)
};

struct stored_rumor {
  rumor update;
  /// When its origin created it, by this node's clock.
  steady_time originated_at{};
  /// Number of times it will still be forwarded.
  std::uint32_t sends_left = 0;
};

struct most_sends_first {
  bool operator()(const std::pair<std::uint32_t, rumor_name>& one,
                  const std::pair<std::uint32_t, rumor_name>& other) const {
    return one.first != other.first ? one.first > other.first : one.second < other.second;
  }
};

struct rumor_store {
  std::map<rumor_name, stored_rumor> rumors;
  /// The same rumors by time of origin, for expiry.
  std::set<std::pair<steady_time, rumor_name>> by_time;
  /// Rumors that have sends left, those with the most first.
  std::set<std::pair<std::uint32_t, rumor_name>, most_sends_first> active;
};

/// True if the rumor was received before.
bool contains_rumor(const rumor_store& store, const rumor& update);

/// Stores a rumor; false if it is a duplicate or too old to spread. A duplicate
/// lowers the number of sends left, since other nodes have the rumor too.
bool store_rumor(rumor_store& store, const rumor& update, std::uint32_t sends, steady_time now);

/// Takes rumors to forward, those with the most sends left first, up to
/// `byte_limit` encoded bytes, and decrements their sends left.
std::vector<rumor> take_rumors_to_send(rumor_store& store, std::size_t byte_limit, steady_time now);

/// Removes expired rumors and stops forwarding those past `rumor_spread_age`.
void expire_rumors(rumor_store& store, steady_time now);

}  // namespace chestnuthead
