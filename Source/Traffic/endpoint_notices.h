#pragma once

#include <string>

#include "Gateway/request.h"
#include "Traffic/endpoint_link.h"
#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

/// Applies the status headers of an endpoint's answer, such as its load, and logs a notice
/// that it is leaving or asks for a pause. `asked` is the incarnation of the endpoint to which the
/// answered request was sent; `request` is its ID, empty for a health check.
void handle_endpoint_notices(traffic_context& context, const endpoint_id& endpoint,
                             const gateway::incarnation_id& asked,
                             const gateway::endpoint_answer& answer, const std::string& request);

/// Doubts all endpoints, with a log line, if this gateway was paused.
void detect_interruption(traffic_context& context, steady_time now);

/// Records that this gateway is connected to the endpoint or no longer is. Doubts the endpoint if
/// it has ended the last connection unexpectedly: its process may have ended.
void handle_contact(traffic_context& context, const endpoint_id& endpoint, contact_change change);

}  // namespace chestnuthead::traffic
