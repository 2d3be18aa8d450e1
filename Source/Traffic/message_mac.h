#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Gateway/fleet_keys.h"

/// Authenticates messages between gateways with a keyed hash, so that only holders of the
/// fleet's key can create or change one.
namespace chestnuthead::traffic {

/// Length of the authentication code that is appended to a message.
inline constexpr std::size_t mac_bytes = 16;

/// Generates a random secret; empty if the system's random source fails.
std::string make_secret();

/// The message with its authentication code appended.
std::string append_mac(const gateway::fleet_key& key, std::string message);

/// The message without its authentication code, or nothing if the code matches no known key.
std::optional<std::string_view> verify_message(const gateway::fleet_keys& keys,
                                               std::string_view signed_message);

}  // namespace chestnuthead::traffic
