#pragma once

#include <chrono>

#include "chestnuthead/clock.h"

#include "Gateway/gateway_state.h"

/// Readiness of this gateway: whether the balancer should send callers here.
namespace chestnuthead::gateway {

/// How long a confirmation of the configuration counts as current. Without a confirmation a
/// gateway polls the store after 1.25 s at most, so an older one means that neither the store
/// nor a peer has answered since.
inline constexpr std::chrono::milliseconds current_for{1'800};

/// True if the configuration was confirmed recently.
bool is_current(const gateway_state& state, steady_time now);

/// True while callers' keys may be accepted. Afterwards a key may have been revoked without
/// this gateway having received the change.
bool keys_trusted(const gateway_state& state, steady_time now);

/// True if this gateway has lost the store but others probably haven't, so that a caller
/// should switch to another gateway. This is assumed if most peers with recent messages
/// report that they are current, or if no message arrives from any known peer.
bool others_are_better(const gateway_state& state, steady_time now);

/// True if the balancer should send callers here. A gateway that has lost the store becomes
/// unready before it has to refuse keys, provided that other gateways are better.
bool is_ready(const gateway_state& state, steady_time now);

}  // namespace chestnuthead::gateway
