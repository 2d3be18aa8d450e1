#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "chestnuthead/clock.h"

#include "Gateway/endpoint_table.h"

/// Eras of the platform's store. It begins one when it comes back from a copy that is some
/// seconds old: what was written since is missing until its writers have written it again,
/// so that until then a row which is missing or old says nothing.
namespace chestnuthead::gateway {

/// What a gateway knows of the store's eras.
struct store_eras {
  /// The newest era that the store has told this gateway.
  std::uint64_t era = 0;
  /// When it first did.
  steady_time heard_at{};
  /// Newest era that a gateway has noted in the store as settled.
  std::uint64_t settled_era = 0;
};

/// After this time in an era operators and endpoints have written again what was lost:
/// endpoints that live are listed again within about two seconds.
inline constexpr std::chrono::milliseconds rewrite_time = missing_grace;

/// The store has answered in that era. True if it is newer than any before.
bool hear_era(store_eras& eras, std::uint64_t era, steady_time now);

/// True if all that was lost is written again in what the store answered at `as_of`.
bool is_settled(const store_eras& eras, steady_time as_of);

/// True if no gateway has noted yet that the era is settled, and it is.
bool is_note_due(const store_eras& eras, steady_time now);

/// When this gateway heard that the store had come back from a copy, if it ever has.
std::optional<steady_time> copied_at(const store_eras& eras);

/// Earliest time at which what the store answers is settled.
steady_time settled_from(const store_eras& eras);

}  // namespace chestnuthead::gateway
