#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
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
  /// The store's row that holds it; empty if none is known to.
  std::string row;
};

/// What tells keys apart. Two keys have one number if gateways made them in two eras of the
/// store.
struct key_name {
  std::uint64_t number = 0;
  std::uint64_t hash_of_secret = 0;

  auto operator<=>(const key_name&) const = default;  // NOLINT(modernize-use-nullptr)
};

struct fleet_keys {
  /// A new key has the next number.
  std::map<key_name, fleet_key> rows;
};

/// After this time a new key is made.
inline constexpr std::chrono::hours key_life{24};
/// A new key is used for sending once all gateways have had this time to hear of it.
inline constexpr std::chrono::seconds key_spread{15};
/// Keys that are kept: messages under the one before are taken too.
inline constexpr std::size_t keys_kept = 2;

/// Takes in a key; one that is known already keeps its time.
void learn_key(fleet_keys& keys, std::uint64_t number, const fleet_key& key);

/// The row is gone from the store, and so is its key.
void forget_key(fleet_keys& keys, const std::string& row);

/// The store holds just these rows. Keys that no row is known to hold stay.
void keep_rows(fleet_keys& keys, const std::set<std::string>& rows);

/// The store may have lost any row: its keys are kept, and must be written again.
void forget_rows(fleet_keys& keys);

/// A key that no row is known to hold, or nullptr.
const std::pair<const key_name, fleet_key>* lost_key(const fleet_keys& keys);

/// True if another key of that number lies in the store.
bool is_number_taken(const fleet_keys& keys, const key_name& name);

/// The key for messages of this gateway, or nullptr while none is known.
const fleet_key* sending_key(const fleet_keys& keys, steady_time now);

/// The number of the key to be made next, if one is due.
std::optional<std::uint64_t> next_key_due(const fleet_keys& keys,
                                          std::chrono::milliseconds store_time);

/// Rows of keys that are no longer taken once `newest` is there.
std::vector<std::string> rows_outdated(const fleet_keys& keys, std::uint64_t newest);

/// A key as text, and back; nothing if the text is no key.
std::string format_key(const fleet_key& key);
std::optional<fleet_key> parse_key(std::string_view text);

}  // namespace chestnuthead::gateway
