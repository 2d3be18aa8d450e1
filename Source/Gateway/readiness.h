#pragma once

#include <chrono>

#include "chestnuthead/clock.h"

#include "Gateway/gateway_state.h"

/// Whether callers should come to this gateway or to another one.
namespace chestnuthead::gateway {

/// How long a confirmation of the configuration counts as current. A gateway that
/// nobody has confirmed asks the store after 1.25 s at most: an older confirmation
/// means that neither the store nor a peer has answered since.
inline constexpr std::chrono::milliseconds current_for{1'800};

/// True if the store has confirmed the configuration lately.
bool is_current(const gateway_state& state, steady_time now);

/// True while keys may be accepted: a key that was revoked meanwhile would be
/// known by now.
bool keys_trusted(const gateway_state& state, steady_time now);

/// True if this gateway has lost the store and others have not: a caller that
/// goes to another gateway is served. That is so if most of the peers that were
/// heard lately say that they are current, or if no known peer is heard either.
bool others_are_better(const gateway_state& state, steady_time now);

/// True if the balancer should send callers here. A gateway that has lost the
/// store leaves before it has to refuse keys, provided that others are better.
bool is_ready(const gateway_state& state, steady_time now);

}  // namespace chestnuthead::gateway
