#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chestnuthead/configuration.h"
#include "chestnuthead/memory_table.h"
#include "chestnuthead/router_core.h"
#include "chestnuthead/seeded_random.h"
#include "chestnuthead/vm_list.h"

#include "Router/router_state.h"

namespace chestnuthead {

/// One router core with a table, a VM list and a clock that tests move. What
/// the core asks of the table and the list is answered at once.
class router_fixture {
 public:
  /// `agents` model engines and four instances of a plain service, spread over
  /// the four failure domains "d0" to "d3".
  explicit router_fixture(int agents, std::uint64_t seed = 1);

  /// Takes in one event; the actions that the table and the list do not answer
  /// are returned and kept in `log`.
  std::vector<router_action> give(const router_event& event);

  /// Moves the clock on in ticks; returns what the router did meanwhile.
  std::vector<router_action> pass(std::chrono::milliseconds time);

  /// Writes the document as its next version and lets the router read it.
  void configure();

  /// A request for the model engines, of a returning chat if one is named.
  std::vector<router_action> ask(const std::string& request, const std::string& chat = "");
  /// An at-most-once call of the plain service.
  std::vector<router_action> pay(const std::string& request, const std::string& key);

  std::vector<router_action> accept(const send_attempt& attempt);
  std::vector<router_action> refuse(const send_attempt& attempt, refusal_kind why,
                                    std::chrono::milliseconds retry_after = {});
  std::vector<router_action> end(const send_attempt& attempt, attempt_outcome outcome,
                                 std::uint64_t bytes_passed = 0);

  configuration_document document;
  memory_table table;
  bool table_down = false;
  /// Calls of the table by seals are returned instead of answered.
  bool hold_seals = false;
  vm_snapshot vms;
  steady_time now{std::chrono::hours{1}};
  std::vector<router_action> log;
  /// Called with the actions of each event as they come, if set.
  std::function<void(const std::vector<router_action>&)> observer;
  router_state_ptr state;

 private:
  std::vector<router_action> answer_platform(std::vector<router_action> actions);
  std::vector<router_action> answer_table(const router_submit_table& ask);

  seeded_random random;
};

/// All actions of one kind, in order.
template <class Action>
std::vector<Action> all_of(const std::vector<router_action>& actions) {
  std::vector<Action> found;
  for (const router_action& action : actions) {
    if (const auto* wanted = std::get_if<Action>(&action)) {
      found.push_back(*wanted);
    }
  }
  return found;
}

/// The last action of one kind; throws if there is none.
template <class Action>
Action last_of(const std::vector<router_action>& actions) {
  return all_of<Action>(actions).at(all_of<Action>(actions).size() - 1);
}

/// Names of the broken invariants among the actions.
std::set<std::string> broken_invariants(const std::vector<router_action>& actions);

}  // namespace chestnuthead
