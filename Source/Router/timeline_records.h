#pragma once

#include <string>

#include "chestnuthead/ids.h"

#include "Router/request_table.h"
#include "Router/router_state.h"

/// Events that the router records for the timeline.
namespace chestnuthead::routing {

/// Records an event of a request and its current attempt, if there is one.
void record_event(const request_row& row, const std::string& name, const node_id& agent,
                  const std::string& detail, router_actions& actions);

}  // namespace chestnuthead::routing
