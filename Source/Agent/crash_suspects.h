#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "chestnuthead/clock.h"

/// Requests suspected of having crashed the endpoint. The table is in the agent,
/// since the agent survives a crash of the engine.
namespace chestnuthead {

/// Fingerprints of suspected requests, with the expiry time of each suspicion.
struct crash_suspects {
  std::map<std::uint64_t, steady_time> until;
  std::uint64_t crashes = 0;
};

/// True if this endpoint recently crashed while running a request with this
/// fingerprint.
bool suspected_here(const crash_suspects& suspects, std::uint64_t fingerprint, steady_time now);

/// Chooses the suspects among the requests that ran when the endpoint crashed:
/// those that were suspected before, or all if there were none.
std::vector<std::uint64_t> choose_suspects(const std::set<std::uint64_t>& running,
                                           const std::set<std::uint64_t>& suspected_before);

/// Adds suspects whose suspicion expires at `until`.
void add_suspects(crash_suspects& suspects, const std::vector<std::uint64_t>& chosen,
                  steady_time until);

/// Clears the suspicion after a run that completed.
void clear_suspect(crash_suspects& suspects, std::uint64_t fingerprint);

/// Drops expired suspicions.
void expire_suspects(crash_suspects& suspects, steady_time now);

}  // namespace chestnuthead
