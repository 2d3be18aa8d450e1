#pragma once

#include <cstdint>
#include <vector>

#include "chestnuthead/agent_core.h"

#include "Agent/attempt_audit.h"
#include "Agent/attempt_table.h"
#include "Agent/crash_suspects.h"
#include "Agent/fair_share.h"
#include "Agent/pool_view.h"
#include "Agent/residency.h"
#include "Agent/service_rate.h"
#include "Agent/warm_up.h"
#include "Gossip/control_plane.h"
#include "Ledger/ledger.h"

namespace chestnuthead {

/// Test only: turns off single mechanisms, so that tests can show which failure
/// each one prevents. In production all are on.
struct agent_switches {
  bool deduplicate_attempts = true;
  bool wait_for_claim = true;
  bool bound_by_mean = true;
  bool start_cold = true;
  bool honour_taken_out = true;
  bool drain_before_stop = true;
  bool share_fairly = true;
  bool isolate_suspects = true;
};

/// The state of one agent.
struct agent_state {
  agent_settings settings;
  agent_switches switches;
  control_plane_ptr control;
  ledger_ptr ledger;

  attempt_table attempts;
  pool_view pool;
  warm_up warm;
  residency resident;
  fair_share shares;
  service_rate rate;
  crash_suspects suspects;
  attempt_audit audit;

  /// The endpoint passes its health check.
  bool endpoint_up = false;
  /// Time of the last observed crash of the endpoint.
  steady_time crashed_at;
  bool stopping = false;
  steady_time stop_begun_at;
  bool stop_reported = false;
  /// Value of the last `agent_set_ready` action.
  bool reported_ready = false;
  /// The agent has announced itself to the other nodes as serving.
  bool announced = false;
  std::uint64_t invariants_broken = 0;
  /// The ledger's violation counter when last reported.
  std::uint64_t reported_claims_overtaken = 0;

  /// Actions of the current step.
  std::vector<agent_action> actions;
};

/// The pool of this agent's endpoint; defaults until a configuration is known.
const pool_configuration& own_pool(const agent_state& state);

/// The agent's load: attempts that are admitted and not finished.
std::uint32_t in_flight(const agent_state& state);

}  // namespace chestnuthead
