#pragma once

#include <cstdint>
#include <string>

#include "chestnuthead/clock.h"

#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

/// Reviews the evidence about prompt parts that crash endpoints and logs new verdicts.
/// `request` is the ID of the request whose call has just broken, empty if there is none.
void review_crashing_parts(traffic_context& context, const std::string& request, steady_time now);

/// A prompt part in the logs: 16 hexadecimal digits.
std::string part_text(std::uint64_t part);

}  // namespace chestnuthead::traffic
