#include "Gateway/fleet_keys.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <Poco/DigestEngine.h>
#include <Poco/Exception.h>

#include "Base/hashing.h"

namespace chestnuthead::gateway {

namespace {

/// Decodes a hexadecimal text; returns nothing if it is malformed.
std::optional<std::string> from_hex(std::string_view text) {
  try {
    const Poco::DigestEngine::Digest bytes = Poco::DigestEngine::digestFromHex(std::string(text));
    return std::string(bytes.begin(), bytes.end());
  } catch (const Poco::DataFormatException&) {
    return std::nullopt;
  }
}

}  // namespace

void add_key(fleet_keys& keys, std::uint64_t number, const fleet_key& key) {
  const key_name name{number, hash_text(key.secret)};
  // The row now contains this key, so its previous key was replaced.
  std::erase_if(keys.rows, [&](const auto& entry) {
    return entry.first != name && !key.row.empty() && entry.second.row == key.row;
  });
  const auto [place, is_new] = keys.rows.try_emplace(name, key);
  if (!is_new && !key.row.empty()) {
    place->second.row = key.row;
  }
}

void remove_key(fleet_keys& keys, const std::string& row) {
  std::erase_if(keys.rows, [&row](const auto& entry) { return entry.second.row == row; });
}

void retain_rows(fleet_keys& keys, const std::set<std::string>& rows) {
  std::erase_if(keys.rows, [&rows](const auto& entry) {
    return !entry.second.row.empty() && !rows.contains(entry.second.row);
  });
}

void clear_row_names(fleet_keys& keys) {
  for (auto& [name, key] : keys.rows) {
    key.row.clear();
  }
}

const std::pair<const key_name, fleet_key>* key_without_row(const fleet_keys& keys) {
  const auto place = std::find_if(keys.rows.begin(), keys.rows.end(),
                                  [](const auto& entry) { return entry.second.row.empty(); });
  return place == keys.rows.end() ? nullptr : &*place;
}

bool is_number_taken(const fleet_keys& keys, const key_name& name) {
  return std::any_of(keys.rows.begin(), keys.rows.end(), [&name](const auto& entry) {
    return entry.first.number == name.number && entry.first != name && !entry.second.row.empty();
  });
}

const fleet_key* sending_key(const fleet_keys& keys, steady_time now) {
  const auto propagated = std::find_if(
      keys.rows.rbegin(), keys.rows.rend(),
      [now](const auto& entry) { return now - entry.second.known_at >= key_propagation_time; });
  if (propagated != keys.rows.rend()) {
    return &propagated->second;
  }
  const auto oldest =
      std::min_element(keys.rows.begin(), keys.rows.end(), [](const auto& one, const auto& other) {
        return one.second.known_at < other.second.known_at;
      });
  return oldest == keys.rows.end() ? nullptr : &oldest->second;
}

std::optional<std::uint64_t> next_key_due(const fleet_keys& keys,
                                          std::chrono::milliseconds store_time) {
  if (keys.rows.empty()) {
    return 1;
  }
  const auto& [name, newest] = *keys.rows.rbegin();
  // If the store's clock was reset, the difference is negative and the key is not replaced.
  const bool is_old = store_time - newest.made_at >= key_lifetime;
  return is_old ? std::optional(name.number + 1) : std::nullopt;
}

std::vector<std::string> rows_outdated(const fleet_keys& keys, std::uint64_t newest) {
  std::vector<std::string> rows;
  for (const auto& [name, key] : keys.rows) {
    if (name.number + keys_kept <= newest && !key.row.empty()) {
      rows.push_back(key.row);
    }
  }
  return rows;
}

std::string format_key(const fleet_key& key) {
  return std::to_string(key.made_at.count()) + " " +
         Poco::DigestEngine::digestToHex({key.secret.begin(), key.secret.end()});
}

std::optional<fleet_key> parse_key(std::string_view text) {
  std::int64_t made_at = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), made_at);
  const auto used = static_cast<std::size_t>(result.ptr - text.data());
  if (result.ec != std::errc{} || used >= text.size() || text[used] != ' ') {
    return std::nullopt;
  }
  const auto secret = from_hex(text.substr(used + 1));
  if (!secret || secret->size() != secret_bytes) {
    return std::nullopt;
  }
  return fleet_key{*secret, std::chrono::milliseconds{made_at}, {}, {}};
}

}  // namespace chestnuthead::gateway
