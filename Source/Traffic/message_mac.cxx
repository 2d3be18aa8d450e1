#include "Traffic/message_mac.h"

#include <algorithm>
#include <array>

#include <sodium.h>

namespace chestnuthead::traffic {

namespace {

using mac_tag = std::array<unsigned char, mac_bytes>;

const unsigned char* bytes_of(std::string_view text) {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  return reinterpret_cast<const unsigned char*>(text.data());
}

mac_tag mac_of(const gateway::fleet_key& key, std::string_view message) {
  mac_tag made{};
  crypto_generichash(made.data(), made.size(), bytes_of(message), message.size(),
                     bytes_of(key.secret), key.secret.size());
  return made;
}

}  // namespace

std::string make_secret() {
  if (sodium_init() < 0) {
    return {};
  }
  std::string secret(gateway::secret_bytes, '\0');
  randombytes_buf(secret.data(), secret.size());
  return secret;
}

std::string append_mac(const gateway::fleet_key& key, std::string message) {
  const mac_tag made = mac_of(key, message);
  message.append(made.begin(), made.end());
  return message;
}

std::optional<std::string_view> verify_message(const gateway::fleet_keys& keys,
                                               std::string_view signed_message) {
  if (signed_message.size() < mac_bytes) {
    return std::nullopt;
  }
  const std::string_view message = signed_message.substr(0, signed_message.size() - mac_bytes);
  const std::string_view received = signed_message.substr(message.size());
  const bool known = std::any_of(keys.rows.begin(), keys.rows.end(), [&](const auto& entry) {
    return sodium_memcmp(mac_of(entry.second, message).data(), received.data(), mac_bytes) == 0;
  });
  return known ? std::optional(message) : std::nullopt;
}

}  // namespace chestnuthead::traffic
