#pragma once

#include "Gateway/endpoint_health.h"
#include "Gateway/request.h"
#include "Gateway/rollout.h"
#include "Traffic/attempt_log.h"

/// Counts the results of requests as evidence on the versions of a roll-out.
namespace chestnuthead::traffic {

/// Counts one attempt at an endpoint, which has ended. Only answers count: a connection
/// that can't be opened or breaks speaks of the endpoint or the network, not of its software.
/// Answers of cold endpoints don't count, as they are slow under any version.
void count_rollout_result(gateway::rollout_table& rollouts, const gateway::endpoint& row,
                          const gateway::route& route, const attempt_record& attempt,
                          gateway::attempt_result result);

}  // namespace chestnuthead::traffic
