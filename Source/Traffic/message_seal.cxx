#include "Traffic/message_seal.h"

#include <algorithm>
#include <array>

#include <sodium.h>

namespace chestnuthead::traffic {

namespace {

using seal = std::array<unsigned char, seal_bytes>;

const unsigned char* bytes_of(std::string_view text) {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  return reinterpret_cast<const unsigned char*>(text.data());
}

seal seal_of(const gateway::fleet_key& key, std::string_view message) {
  seal made{};
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

std::string seal_message(const gateway::fleet_key& key, std::string message) {
  const seal made = seal_of(key, message);
  message.append(made.begin(), made.end());
  return message;
}

std::optional<std::string_view> open_message(const gateway::fleet_keys& keys,
                                             std::string_view sealed) {
  if (sealed.size() < seal_bytes) {
    return std::nullopt;
  }
  const std::string_view message = sealed.substr(0, sealed.size() - seal_bytes);
  const std::string_view told = sealed.substr(message.size());
  const bool known = std::any_of(keys.rows.begin(), keys.rows.end(), [&](const auto& entry) {
    return sodium_memcmp(seal_of(entry.second, message).data(), told.data(), seal_bytes) == 0;
  });
  return known ? std::optional(message) : std::nullopt;
}

}  // namespace chestnuthead::traffic
