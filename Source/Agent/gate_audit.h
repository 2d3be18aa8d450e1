#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chestnuthead/agent_core.h"

/// Watches what the agent says and does about each attempt, apart from the
/// tables that decide it, and reports what must never happen.
namespace chestnuthead {

/// What was said and done about one attempt.
struct attempt_history {
  /// Needs a claim before it runs and a settled result before it ends.
  bool at_most_once = false;
  bool accepted = false;
  bool refused = false;
  bool granted = false;
  bool ran = false;
  bool result_settled = false;
  bool ended = false;
  steady_time last_change;
};

struct gate_audit {
  std::map<attempt_id, attempt_history> attempts;
};

/// An attempt was offered.
void note_offered(gate_audit& audit, const attempt_offered& offer, steady_time now);

/// The ledger said that the attempt may run.
void note_granted(gate_audit& audit, const attempt_id& attempt, steady_time now);

/// The ledger said that the attempt's result is settled.
void note_settled(gate_audit& audit, const attempt_id& attempt, steady_time now);

/// Checks the actions of one step in their order.
std::vector<agent_invariant_broken> check_actions(gate_audit& audit,
                                                  const std::vector<agent_action>& actions,
                                                  steady_time now);

/// Drops the histories of attempts that ended long ago.
void forget_old_histories(gate_audit& audit, steady_time now);

}  // namespace chestnuthead
