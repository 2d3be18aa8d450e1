#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "chestnuthead/clock.h"

#include "Gateway/endpoint_table.h"

/// Eras of the platform's store. The store begins a new era when it is restored from a copy
/// that is some seconds old. Later writes are missing until their writers have repeated them,
/// so no conclusion is drawn from a missing or outdated row until the era is settled.
namespace chestnuthead::gateway {

/// The store's eras as seen by this gateway.
struct store_eras {
  /// The newest era in the store's answers to this gateway.
  std::uint64_t era = 0;
  /// When this era was first received.
  steady_time received_at{};
  /// Newest era that a gateway has marked as settled in the store.
  std::uint64_t settled_era = 0;
};

/// Time after the begin of an era within which operators and endpoints repeat lost writes:
/// running endpoints are listed again within about two seconds.
inline constexpr std::chrono::milliseconds rewrite_time = missing_grace;

/// Records the era of an answer from the store. Returns true if it is newer than any before.
bool record_era(store_eras& eras, std::uint64_t era, steady_time now);

/// True if an answer of the store from `as_of` includes all repeated writes.
bool is_settled(const store_eras& eras, steady_time as_of);

/// True if the era is settled but no gateway has marked it so in the store yet.
bool is_note_due(const store_eras& eras, steady_time now);

/// When this gateway noticed that the store was last restored from a copy, if ever.
std::optional<steady_time> copied_at(const store_eras& eras);

/// Time from which the store's answers count as settled.
steady_time settled_from(const store_eras& eras);

}  // namespace chestnuthead::gateway
