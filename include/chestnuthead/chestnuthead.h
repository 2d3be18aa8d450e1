#pragma once

/// Umbrella header for programs that embed the decision cores and implement the ports
/// themselves, without the daemons.

#include "chestnuthead/agent_core.h"
#include "chestnuthead/answer.h"
#include "chestnuthead/clock.h"
#include "chestnuthead/configuration.h"
#include "chestnuthead/endpoint_port.h"
#include "chestnuthead/error_kind.h"
#include "chestnuthead/gossip.h"
#include "chestnuthead/ids.h"
#include "chestnuthead/memory_table.h"
#include "chestnuthead/object_store.h"
#include "chestnuthead/peer_transport.h"
#include "chestnuthead/random_source.h"
#include "chestnuthead/request.h"
#include "chestnuthead/router_core.h"
#include "chestnuthead/seeded_random.h"
#include "chestnuthead/table_service.h"
#include "chestnuthead/timeline.h"
#include "chestnuthead/vm_list.h"
