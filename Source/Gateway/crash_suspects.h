#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "chestnuthead/clock.h"

#include "Gateway/peer_table.h"
#include "Gateway/request.h"

/// Finds requests that crash each endpoint that executes them.
namespace chestnuthead::gateway {

/// Endpoints that a request may crash before it is refused everywhere. Requests
/// beside the culprit fall under suspicion too, and may meet two crashes by
/// chance while endpoints flap.
inline constexpr std::size_t crashes_allowed = 3;
/// How long a suspicion is kept.
inline constexpr std::chrono::seconds suspicion_life{60};
/// How long a suspicion is repeated to the peers.
inline constexpr std::chrono::seconds suspicion_news{5};
/// Requests under suspicion that are kept at most.
inline constexpr std::size_t suspects_kept = 4'096;

struct crash_suspect {
  /// Endpoints that broke off while they executed the request, and when.
  std::map<std::uint64_t, steady_time> endpoints;
};

struct crash_suspects {
  std::map<std::uint64_t, crash_suspect> rows;
};

/// What a request and its repetitions have in common: path, caller and body.
std::uint64_t fingerprint_of(const caller_request& request, std::string_view body);

/// Takes in one crash.
void suspect(crash_suspects& table, const crash_word& word, steady_time now);

/// True if the request crashed as many endpoints as allowed.
bool is_refused(const crash_suspects& table, std::uint64_t fingerprint, steady_time now);

/// Suspicions that the peers should hear of.
std::vector<crash_word> recent_crashes(const crash_suspects& table, steady_time now);

/// Drops what is too old.
void forget_old(crash_suspects& table, steady_time now);

}  // namespace chestnuthead::gateway
