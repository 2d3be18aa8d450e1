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

/// News that this node has heard: passed on a limited number of times and
/// remembered long enough that no copy is taken as new again.
namespace chestnuthead {

/// A rumor older than this is not passed on, nor taken in from a peer.
inline constexpr std::chrono::seconds rumor_spread_age{60};
/// A rumor is remembered for this long.
inline constexpr std::chrono::seconds rumor_memory{150};
/// Rumors remembered at most; the oldest go first.
inline constexpr std::size_t rumor_limit = 1'024;

/// Names a rumor. Sequences are compared for equality only: an origin that has
/// started anew begins at a random number.
struct rumor_name {
  node_id origin;
  std::uint64_t sequence = 0;
  std::string subject;

  auto operator<=>(const rumor_name&) const = default;  // NOLINT(modernize-use-nullptr)
};

struct stored_rumor {
  rumor news;
  /// When its origin said it, by this node's clock.
  steady_time said_at{};
  /// Times it is still to be passed on.
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
  /// The same by the time at which they were said, for ageing.
  std::set<std::pair<steady_time, rumor_name>> by_time;
  /// Those that still have sends left, most sends first.
  std::set<std::pair<std::uint32_t, rumor_name>, most_sends_first> active;
};

/// True if the rumor was heard before.
bool knows_rumor(const rumor_store& store, const rumor& news);

/// Takes in a rumor; false if it was known or is too old to spread. A known one
/// loses sends, since others have it too.
bool store_rumor(rumor_store& store, const rumor& news, std::uint32_t sends, steady_time now);

/// Chooses rumors to pass on, those with most sends left first, within a number
/// of encoded bytes, and counts the sends.
std::vector<rumor> take_rumors_to_send(rumor_store& store, std::size_t byte_limit, steady_time now);

/// Forgets what is past its age.
void expire_rumors(rumor_store& store, steady_time now);

}  // namespace chestnuthead
