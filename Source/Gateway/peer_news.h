#pragma once

#include "chestnuthead/clock.h"

#include "Gateway/gateway_state.h"

/// What a gateway makes of its peers' messages.
namespace chestnuthead::gateway {

/// Takes in a message: loads, suspicions, placements, and endpoints that the
/// sender has lost since its message before. False if the message is older than
/// what is known of the sender.
bool take_word(gateway_state& state, const peer_word& word, steady_time now);

}  // namespace chestnuthead::gateway
