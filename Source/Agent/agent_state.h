#pragma once

#include <cstdint>
#include <vector>

#include "chestnuthead/agent_core.h"

#include "Agent/attempt_table.h"
#include "Agent/crash_suspects.h"
#include "Agent/fair_share.h"
#include "Agent/gate_audit.h"
#include "Agent/pool_view.h"
#include "Agent/residency.h"
#include "Agent/service_rate.h"
#include "Agent/warm_up.h"
#include "Gossip/control_plane.h"
#include "Ledger/ledger.h"

namespace chestnuthead {

/// Turns single mechanisms off, so that tests can show what each one prevents.
/// All are on in use.
struct agent_switches {
  bool remember_attempts = true;
  bool wait_for_claim = true;
  bool bound_by_mean = true;
  bool start_cold = true;
  bool heed_taken_out = true;
  bool drain_before_stop = true;
  bool share_fairly = true;
  bool isolate_suspects = true;
};

/// All tables of one agent.
struct agent_state {
  agent_settings settings;
  agent_switches switches;
  control_plane_ptr control;
  ledger_ptr book;

  attempt_table attempts;
  pool_view pool;
  warm_up warm;
  residency resident;
  fair_share shares;
  service_rate rate;
  crash_suspects suspects;
  gate_audit audit;

  /// The endpoint answers its health question.
  bool endpoint_up = false;
  /// When the endpoint was last seen to crash.
  steady_time crashed_at;
  bool stopping = false;
  steady_time stop_begun_at;
  bool stop_told = false;
  /// What `agent_set_ready` said last.
  bool ready_told = false;
  /// The other nodes were told that this agent serves.
  bool announced = false;
  std::uint64_t invariants_broken = 0;
  /// Count of the ledger's broken invariants as last told.
  std::uint64_t claims_overtaken_told = 0;

  /// What the step at work will return.
  std::vector<agent_action> actions;
};

/// The pool that this agent's endpoint serves; defaults before any
/// configuration is known.
const pool_configuration& own_pool(const agent_state& state);

/// Requests admitted and not finished: the agent's load.
std::uint32_t in_flight(const agent_state& state);

}  // namespace chestnuthead
