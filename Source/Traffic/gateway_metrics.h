#pragma once

#include "chestnuthead/clock.h"

#include "Gateway/gateway_state.h"
#include "Net/metrics.h"
#include "Traffic/endpoint_link.h"

namespace chestnuthead::traffic {

/// Sets the gauges that describe the state of a gateway at `now`. Counters and histograms are
/// updated by the code that they measure.
void set_gauges(metrics_registry& metrics, const gateway::gateway_state& state,
                const endpoint_links& links, steady_time now);

}  // namespace chestnuthead::traffic
