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

/// The secrets with which gateways authenticate their messages to each other. They are kept
/// in the platform's store, where the first gateway of a fleet creates one.
namespace chestnuthead::gateway {

inline constexpr std::size_t secret_bytes = 32;

struct fleet_key {
  std::string secret;
  /// Time of creation by the store's clock.
  std::chrono::milliseconds made_at{0};
  /// When this gateway received the key.
  steady_time known_at{};
  /// Name of the store's row that contains the key; empty if none is known to.
  std::string row;
};

/// Identifies a key. Two keys have the same number if gateways created them in different eras
/// of the store.
struct key_name {
  std::uint64_t number = 0;
  std::uint64_t hash_of_secret = 0;

  auto operator<=>(const key_name&) const = default;  // NOLINT(modernize-use-nullptr)
};

struct fleet_keys {
  /// Keys in the order of their numbers; a new key gets the next number.
  std::map<key_name, fleet_key> rows;
};

/// Age at which a key is replaced by a new one.
inline constexpr std::chrono::hours key_lifetime{24};
/// A new key is used for sending only after this time, so that all gateways have received it.
inline constexpr std::chrono::seconds key_propagation_time{15};
/// Number of keys that are retained: messages authenticated with the previous key are
/// accepted too.
inline constexpr std::size_t keys_kept = 2;

/// Adds a key. A key that is known already keeps its `known_at`.
void add_key(fleet_keys& keys, std::uint64_t number, const fleet_key& key);

/// Removes the key of a row that was deleted from the store.
void remove_key(fleet_keys& keys, const std::string& row);

/// Removes the keys of all rows but these, which are all that the store contains. Keys
/// without a known row are kept.
void retain_rows(fleet_keys& keys, const std::set<std::string>& rows);

/// Clears the row of each key after the store may have lost rows. The keys are kept and must
/// be written to the store again.
void clear_row_names(fleet_keys& keys);

/// Returns a key without a known row, or nullptr.
const std::pair<const key_name, fleet_key>* key_without_row(const fleet_keys& keys);

/// True if the store contains another key with the same number.
bool is_number_taken(const fleet_keys& keys, const key_name& name);

/// Returns the key that authenticates this gateway's messages, or nullptr if none is known.
const fleet_key* sending_key(const fleet_keys& keys, steady_time now);

/// Returns the number of the key to create next, if one is due.
std::optional<std::uint64_t> next_key_due(const fleet_keys& keys,
                                          std::chrono::milliseconds store_time);

/// Rows of keys that are no longer accepted once the key with number `newest` exists.
std::vector<std::string> rows_outdated(const fleet_keys& keys, std::uint64_t newest);

/// Converts a key to text and back; returns nothing if the text is not a valid key.
std::string format_key(const fleet_key& key);
std::optional<fleet_key> parse_key(std::string_view text);

}  // namespace chestnuthead::gateway
