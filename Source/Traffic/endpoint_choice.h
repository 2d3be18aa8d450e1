#pragma once

#include "chestnuthead/clock.h"

#include "Gateway/endpoint_health.h"
#include "Gateway/placement.h"
#include "Traffic/endpoint_link.h"
#include "Traffic/request_record.h"

/// Chooses the endpoint for the next attempt of a request and connects to it.
namespace chestnuthead::traffic {

/// Updates the placement inputs that change with time.
void update_hints(request_record& record, steady_time now);

/// Finds the endpoints that hold shorter prefixes of the request, from which the chosen
/// endpoint could copy one. Most endpoints hold the shortest prefix, so this is done only if
/// the endpoint was not chosen for holding the prefix itself.
void find_shorter_holders(request_record& record, steady_time now);

/// Chooses an endpoint among those whose versions the request may be sent to.
[[nodiscard]] gateway::placement_choice choose(request_record& record, steady_time now);

/// A connection to the endpoint within this gateway's share of its connections, or nullptr.
[[nodiscard]] endpoint_link* connect_to(const request_record& record, const gateway::endpoint& row);

/// Sets the time of the next search for another endpoint.
void delay_search(request_record& record, steady_time now);

/// Opens a connection to an endpoint that could take the request.
void prepare_standby(request_record& record, steady_time now);

void drop_failed_standby(request_record& record);

/// The endpoint to which the standby connection leads, if it can take the request now.
[[nodiscard]] gateway::endpoint* standby_endpoint(request_record& record, steady_time now);

/// Applies the result to the endpoint's health, and logs an ejection.
void note_health(const request_record& record, gateway::endpoint& row,
                 gateway::attempt_result result);

}  // namespace chestnuthead::traffic
