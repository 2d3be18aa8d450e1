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

/// A router core with a table, a VM list and a clock that the test advances.
/// Reads and writes of the table and reads of the list are answered
/// immediately.
class router_fixture {
 public:
  /// `agents` model engines and four instances of a plain service, spread over
  /// the four failure domains "d0" to "d3".
  explicit router_fixture(int agents, std::uint64_t seed = 1);

  /// Handles one event. Returns the actions that the table and the list do not
  /// answer, and appends them to `log`.
  std::vector<router_action> handle_event(const router_event& event);

  /// Advances the clock in ticks; returns the router's actions during this
  /// time.
  std::vector<router_action> advance_clock(std::chrono::milliseconds time);

  /// Stores the document as the next version and runs the router until it has
  /// read it.
  void configure();

  /// Sends a request to the model engines, of a returning chat if `chat` is not
  /// empty.
  std::vector<router_action> send_request(const std::string& request, const std::string& chat = "");
  /// Sends an at-most-once call to the plain service.
  std::vector<router_action> send_payment(const std::string& request, const std::string& key);

  std::vector<router_action> accept(const send_attempt& attempt);
  std::vector<router_action> refuse(const send_attempt& attempt, refusal_kind why,
                                    std::chrono::milliseconds retry_after = {});
  std::vector<router_action> end(const send_attempt& attempt, attempt_outcome outcome,
                                 std::uint64_t bytes_passed = 0);

  configuration_document document;
  memory_table table;
  bool table_down = false;
  /// Table calls of the router's seals are returned instead of answered.
  bool hold_seals = false;
  vm_snapshot vms;
  steady_time now{std::chrono::hours{1}};
  std::vector<router_action> log;
  /// Called with the actions of each event, if set.
  std::function<void(const std::vector<router_action>&)> observer;
  router_state_ptr state;

 private:
  std::vector<router_action> answer_platform(std::vector<router_action> actions);
  std::vector<router_action> answer_table(const router_submit_table& ask);

  seeded_random random;
};

/// All actions of one type, in order.
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

/// The last action of one type; throws if there is none.
template <class Action>
Action last_of(const std::vector<router_action>& actions) {
  return all_of<Action>(actions).at(all_of<Action>(actions).size() - 1);
}

/// Names of the broken invariants among the actions.
std::set<std::string> broken_invariants(const std::vector<router_action>& actions);

}  // namespace chestnuthead
