#pragma once

#include <string>

#include "Gateway/request.h"
#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

/// Applies the status headers of an endpoint's answer, such as its load, and logs a notice
/// that it is leaving or asks for a pause. `request` is the ID of the answered request, empty
/// for a health check.
void handle_endpoint_notices(traffic_context& context, gateway::endpoint& row,
                             const gateway::endpoint_answer& answer, const std::string& request);

/// Logs that the endpoint turned cold if it was not cold before. `source` tells how this gateway
/// learnt it: `entry` of the platform's list, or `answer` to a health check.
void log_if_turned_cold(traffic_context& context, const gateway::endpoint& row, bool was_cold,
                        const std::string& source);

}  // namespace chestnuthead::traffic
