#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "chestnuthead/clock.h"

#include "Gateway/admission.h"
#include "Gateway/gateway_state.h"
#include "Gateway/stream_origins.h"

/// Decides in which pool and at which software version a request goes on with a stream that an
/// earlier request began.
namespace chestnuthead::gateway {

enum class resumption_step : std::uint8_t {
  /// Send the request to an endpoint of the chosen pool and version.
  send,
  /// Ask again later: where the stream began may become known.
  wait,
  /// The stream can't go on.
  refuse,
};

struct resumption_choice {
  resumption_step step = resumption_step::refuse;
  /// Where the request is sent; nullptr for other steps.
  const pool* taken_pool = nullptr;
  /// The version that began the stream, if that is known.
  std::optional<std::string> version;
};

/// Chooses the pool that began the stream. If the route does not send requests there any more,
/// or the pool is not known, chooses one of the route's pools that has the stream's version.
/// `unit` is a random number in [0, 1).
resumption_choice choose_resumption(const gateway_state& state, const admission& admitted,
                                    const resumption& wanted, double unit, steady_time now);

}  // namespace chestnuthead::gateway
