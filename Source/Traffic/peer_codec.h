#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Gateway/peer_table.h"

/// Messages between gateways, as msgpack arrays; docs/peer-protocol.md lists
/// the fields.
namespace chestnuthead::traffic {

std::string encode_word(const gateway::peer_message& word);

/// Nothing if the bytes are not a message of this version.
std::optional<gateway::peer_message> decode_word(std::string_view bytes);

}  // namespace chestnuthead::traffic
