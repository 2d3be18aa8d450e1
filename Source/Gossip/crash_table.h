#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "chestnuthead/clock.h"
#include "chestnuthead/gossip.h"
#include "chestnuthead/ids.h"

/// Which requests crashed which endpoints, from this node's and others' news.
namespace chestnuthead {

/// Fingerprints kept at most, and endpoints for each; the oldest go first.
inline constexpr std::size_t crash_fingerprint_limit = 1'024;
inline constexpr std::size_t crash_endpoint_limit = 8;
/// Crashes told at most to a node that has just started.
inline constexpr std::size_t crash_history_limit = 64;

struct crash_record {
  rumor news;
  steady_time said_at{};
};

struct crash_table {
  std::map<std::uint64_t, std::map<endpoint_id, crash_record>> crashes;
};

/// Takes in a rumor of kind `request_crashed`; false if it was known or its
/// subject is no fingerprint.
bool note_crash(crash_table& table, const rumor& news, steady_time now);

/// Distinct endpoints that crashed on this content within `memory`.
std::uint32_t count_crashed(const crash_table& table, std::uint64_t fingerprint,
                            std::chrono::seconds memory, steady_time now);

/// The latest crashes as rumors, for a node that has just started.
std::vector<rumor> crash_history(const crash_table& table, std::chrono::seconds memory,
                                 steady_time now);

void expire_crashes(crash_table& table, std::chrono::seconds memory, steady_time now);

}  // namespace chestnuthead
