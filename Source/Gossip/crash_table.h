#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/gossip.h"
#include "chestnuthead/ids.h"

/// Which requests (by fingerprint) crashed which endpoints, as reported by this
/// node and its peers.
namespace chestnuthead {

/// Maximum number of fingerprints, and of endpoints per fingerprint. The
/// fingerprint with the oldest report is evicted first; further endpoints of a
/// fingerprint are ignored.
inline constexpr std::size_t crash_fingerprint_limit = 1'024;
inline constexpr std::size_t crash_endpoint_limit = 8;
/// Maximum number of crashes sent to a node that has just started.
inline constexpr std::size_t crash_history_limit = 64;

struct crash_record {
  rumor update;
  steady_time originated_at{};
};

struct crash_table {
  std::map<std::uint64_t, std::map<endpoint_id, crash_record>> crashes;
};

/// Records a rumor of kind `request_crashed`; false if the crash was already
/// recorded or the subject is not a fingerprint.
bool note_crash(crash_table& table, const rumor& update, steady_time now);

/// Number of distinct endpoints that crashed on this fingerprint within the last
/// `memory` seconds.
std::uint32_t count_crashed(const crash_table& table, std::uint64_t fingerprint,
                            std::chrono::seconds memory, steady_time now);

/// The most recent crashes as rumors, for a node that has just started.
std::vector<rumor> crash_history(const crash_table& table, std::chrono::seconds memory,
                                 steady_time now);

void expire_crashes(crash_table& table, std::chrono::seconds memory, steady_time now);

}  // namespace chestnuthead
