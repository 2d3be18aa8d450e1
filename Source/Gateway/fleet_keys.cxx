#include "Gateway/fleet_keys.h"

#include <charconv>
#include <iterator>
#include <utility>

#include <Poco/DigestEngine.h>
#include <Poco/Exception.h>

namespace chestnuthead::gateway {

namespace {

/// The bytes of a hexadecimal text, or nothing if it is not one.
std::optional<std::string> from_hex(std::string_view text) {
  try {
    const Poco::DigestEngine::Digest bytes = Poco::DigestEngine::digestFromHex(std::string(text));
    return std::string(bytes.begin(), bytes.end());
  } catch (const Poco::DataFormatException&) {
    return std::nullopt;
  }
}

}  // namespace

void learn_key(fleet_keys& keys, std::uint64_t number, fleet_key key) {
  const auto place = keys.rows.find(number);
  if (place == keys.rows.end() || place->second.secret != key.secret) {
    keys.rows[number] = std::move(key);
  }
}

void forget_key(fleet_keys& keys, std::uint64_t number) {
  keys.rows.erase(number);
}

const fleet_key* sending_key(const fleet_keys& keys, steady_time now) {
  if (keys.rows.empty()) {
    return nullptr;
  }
  const auto newest = std::prev(keys.rows.end());
  const bool all_know = now - newest->second.known_at >= key_spread;
  const bool is_only = newest == keys.rows.begin();
  return is_only || all_know ? &newest->second : &std::prev(newest)->second;
}

std::optional<std::uint64_t> next_key_due(const fleet_keys& keys,
                                          std::chrono::milliseconds store_time) {
  if (keys.rows.empty()) {
    return 1;
  }
  const auto& [number, newest] = *keys.rows.rbegin();
  // A store whose clock began anew says nothing about a key's age.
  const bool is_old = store_time - newest.made_at >= key_life;
  return is_old ? std::optional(number + 1) : std::nullopt;
}

std::vector<std::uint64_t> keys_outdated(const fleet_keys& keys, std::uint64_t newest) {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, key] : keys.rows) {
    if (number + keys_kept <= newest) {
      numbers.push_back(number);
    }
  }
  return numbers;
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
  return fleet_key{*secret, std::chrono::milliseconds{made_at}, {}};
}

}  // namespace chestnuthead::gateway
