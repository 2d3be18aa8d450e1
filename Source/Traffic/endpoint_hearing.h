#pragma once

#include <string>

#include "Gateway/request.h"
#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

/// Takes in what an endpoint says of itself with an answer, and logs that it is leaving or
/// wants a pause. `request` names the request that was answered; empty for a health check.
void hear_words(traffic_context& context, gateway::endpoint& row,
                const gateway::endpoint_answer& answer, const std::string& request);

}  // namespace chestnuthead::traffic
