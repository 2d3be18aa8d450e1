#pragma once

#include "chestnuthead/clock.h"

#include "Gateway/gateway_state.h"

/// Processes messages from other gateways.
namespace chestnuthead::gateway {

/// Applies a message: loads, crash reports, placements, leaving endpoints, proofs of incarnations,
/// and endpoints that the sender has lost since its previous message. Returns false if the message
/// is not newer than the last one from its sender.
bool apply_peer_message(gateway_state& state, const peer_message& message, steady_time now);

}  // namespace chestnuthead::gateway
