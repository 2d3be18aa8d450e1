#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chestnuthead/agent_core.h"

/// Checks the agent's actions on each attempt against its invariants, independently
/// of the tables that the decisions are based on.
namespace chestnuthead {

/// What has happened to one attempt so far.
struct attempt_history {
  /// The attempt needs a granted claim before it runs and a recorded result before
  /// it ends.
  bool at_most_once = false;
  bool accepted = false;
  bool refused = false;
  bool granted = false;
  bool ran = false;
  bool result_settled = false;
  bool ended = false;
  steady_time last_change;
};

struct attempt_audit {
  std::map<attempt_id, attempt_history> attempts;
};

/// Records an offer.
void note_offered(attempt_audit& audit, const attempt_offered& offer, steady_time now);

/// Records that the ledger granted the attempt's claim.
void note_granted(attempt_audit& audit, const attempt_id& attempt, steady_time now);

/// Records that the ledger reported the attempt's result as settled.
void note_settled(attempt_audit& audit, const attempt_id& attempt, steady_time now);

/// Checks the actions of one step in order and returns the violations found.
std::vector<agent_invariant_broken> check_actions(attempt_audit& audit,
                                                  const std::vector<agent_action>& actions,
                                                  steady_time now);

/// Drops the histories of attempts that are no longer open and had no change for
/// `attempt_id_retention`.
void expire_histories(attempt_audit& audit, steady_time now);

}  // namespace chestnuthead
