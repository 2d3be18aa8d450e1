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

}  // namespace chestnuthead::traffic
