#pragma once

#include <memory>

#include "Daemons/caller_answer.h"
#include "Daemons/exchange.h"
#include "Daemons/public_server.h"

namespace chestnuthead {

/// Serves one request until its answer has ended. Blocks the calling traffic
/// thread.
void run_exchange(caller_service& service, const std::shared_ptr<exchange>& entry,
                  caller_answer& answer);

}  // namespace chestnuthead
