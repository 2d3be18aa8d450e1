#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Gateway/peer_table.h"

/// Encodes messages between gateways as msgpack arrays; docs/peer-protocol.md lists the fields.
namespace chestnuthead::traffic {

std::string encode_peer_message(const gateway::peer_message& message);

/// Returns nothing if the bytes are not a valid message of this version.
std::optional<gateway::peer_message> decode_peer_message(std::string_view bytes);

}  // namespace chestnuthead::traffic
