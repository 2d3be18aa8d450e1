#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "chestnuthead/clock.h"

/// Requests that may have crashed an endpoint. The table lives in the agent,
/// which outlives its engine.
namespace chestnuthead {

/// Contents suspected here, by fingerprint, with the time until which.
struct crash_suspects {
  std::map<std::uint64_t, steady_time> until;
  std::uint64_t crashes = 0;
};

/// True if this endpoint has crashed while it ran the content.
bool suspected_here(const crash_suspects& suspects, std::uint64_t fingerprint, steady_time now);

/// Of the contents that ran when the endpoint crashed, those to accuse: the
/// ones that were suspected before if there are any, otherwise all of them.
std::vector<std::uint64_t> whom_to_accuse(const std::set<std::uint64_t>& running,
                                          const std::set<std::uint64_t>& suspected_before);

/// Keeps the accused until `until`.
void note_accused(crash_suspects& suspects, const std::vector<std::uint64_t>& accused,
                  steady_time until);

/// The content was run whole, so this endpoint no longer suspects it.
void clear_suspect(crash_suspects& suspects, std::uint64_t fingerprint);

/// Drops suspicions that are over.
void forget_old_suspects(crash_suspects& suspects, steady_time now);

}  // namespace chestnuthead
