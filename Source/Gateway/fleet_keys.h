#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chestnuthead/clock.h"

/// The secrets with which gateways authenticate their messages to each other. They lie
/// in the platform's store, where the first gateway of a fleet puts one.
namespace chestnuthead::gateway {

/// Bytes of a secret.
inline constexpr std::size_t secret_bytes = 32;

struct fleet_key {
  std::string secret;
  /// When it was made, by the store's clock.
  std::chrono::milliseconds made_at{0};
  /// When this gateway heard of it.
  steady_time known_at{};
};

struct fleet_keys {
  /// By number; a new key has the next number.
  std::map<std::uint64_t, fleet_key> rows;
};

/// After this time a new key is made.
inline constexpr std::chrono::hours key_life{24};
/// A new key is used for sending once all gateways have had this time to hear of it.
inline constexpr std::chrono::seconds key_spread{15};
/// Keys that are kept: messages under the one before are taken too.
inline constexpr std::size_t keys_kept = 2;

/// Takes in a key; one that is known already keeps its time.
void learn_key(fleet_keys& keys, std::uint64_t number, fleet_key key);

/// The key is gone from the store.
void forget_key(fleet_keys& keys, std::uint64_t number);

/// The key for messages of this gateway, or nullptr while none is known.
const fleet_key* sending_key(const fleet_keys& keys, steady_time now);

/// The number of the key to be made next, if one is due.
std::optional<std::uint64_t> next_key_due(const fleet_keys& keys,
                                          std::chrono::milliseconds store_time);

/// Numbers of keys that are no longer taken once `newest` is there.
std::vector<std::uint64_t> keys_outdated(const fleet_keys& keys, std::uint64_t newest);

/// A key as text, and back; nothing if the text is no key.
std::string format_key(const fleet_key& key);
std::optional<fleet_key> parse_key(std::string_view text);

}  // namespace chestnuthead::gateway
