#pragma once

#include <string>

#include "Gateway/endpoint_table.h"
#include "Traffic/traffic_context.h"

/// Log lines and metrics on what this gateway learns about endpoints. Together they tell from a log
/// alone why an endpoint could be used at any moment.
namespace chestnuthead::traffic {

/// Logs that an endpoint is listed, and what is known of its incarnation from before.
void log_listed(traffic_context& context, const gateway::endpoint& row,
                gateway::listing_effect effect);

/// Logs under the name `event` that the platform no longer lists the endpoint, after that was
/// applied to its row. `grace_ms` tells for how long it still counts as listed.
void log_unlisted(traffic_context& context, const std::string& event, const endpoint_id& name);

/// Logs that the incarnation of the endpoint has reported that it is leaving. `source` is `answer`,
/// `check` or `peer`; `request` is the ID of the answered request, if any.
void log_leaving(traffic_context& context, const endpoint_id& name,
                 const gateway::incarnation_id& incarnation, const std::string& source,
                 const std::string& request);

/// Logs the first request to an endpoint since it was listed again.
void log_restored_use(traffic_context& context, gateway::endpoint& row, const std::string& request,
                      const std::string& chosen_by);

/// Logs that the endpoint turned cold if it was not cold before. `source` tells how this gateway
/// learnt it: `entry` of the platform's list, or `answer` to a health check.
void log_if_turned_cold(traffic_context& context, const gateway::endpoint& row, bool was_cold,
                        const std::string& source);

/// Logs that the endpoint has proven its incarnation, if it was in doubt before. `source` is
/// `entry` for a heartbeat in the platform's list, `check` for a health check of this gateway, or
/// `peer` for what a peer has sent.
void log_if_proven(traffic_context& context, const gateway::endpoint& row,
                   const gateway::incarnation_proof& before, const std::string& source);

}  // namespace chestnuthead::traffic
