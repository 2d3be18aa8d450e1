#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Gateway/fleet_keys.h"

/// Authenticates messages between gateways: whoever does not hold the fleet's key can't
/// make one, nor change one.
namespace chestnuthead::traffic {

/// Bytes that a seal adds to a message.
inline constexpr std::size_t seal_bytes = 16;

/// A secret from the system's random source; empty if that fails.
std::string make_secret();

/// The message with its seal.
std::string seal_message(const gateway::fleet_key& key, std::string message);

/// The message without its seal, or nothing if no known key made it.
std::optional<std::string_view> open_message(const gateway::fleet_keys& keys,
                                             std::string_view sealed);

}  // namespace chestnuthead::traffic
