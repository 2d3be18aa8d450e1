#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/agent_core.h"
#include "chestnuthead/memory_table.h"
#include "chestnuthead/seeded_random.h"

#include "Agent/agent_state.h"

namespace chestnuthead {

using actions = std::vector<agent_action>;

/// How the fake table behaves.
enum class table_mode : std::uint8_t {
  up,
  /// Refuses each call.
  down,
  /// Carries writes out but their answers are lost.
  answers_lost,
  /// Keeps calls until `release_table`.
  held,
};

/// A document of one pool with small limits and two customers.
configuration_document small_document(pool_kind kind);

/// One agent on a virtual clock with a table service, which tests may share.
class agent_bench {
 public:
  explicit agent_bench(memory_table& shared_table, const std::string& name = "agent-1");

  /// Puts the document into the table; agents hear of it when they read.
  static void store(memory_table& table, const configuration_document& document);

  /// Ticks until the configuration is confirmed, then reports the endpoint as
  /// ready. Fails the test if it takes too long.
  void start();

  /// One event; its actions and those of all table calls it leads to.
  actions send(const agent_event& event);

  /// Lets time pass, tick by tick.
  actions pass(std::chrono::milliseconds time);

  /// Carries out the calls that were held.
  actions release_table();

  /// Names `count` peers with this load in the VM list and in gossip.
  void hear_peers(std::uint32_t count, std::uint32_t load);

  /// The VM list that the agent is given from now on.
  void list_vms(const vm_snapshot& list);

  /// Starts anew, as after kill -9. Calls that were held may still take effect.
  void restart();

  /// Carries out what was held when the agent was killed.
  void apply_orphans();

  [[nodiscard]] std::uint32_t load() const;

  memory_table* table;
  agent_settings settings;
  seeded_random random{1};
  agent_state_ptr state;
  steady_time now{std::chrono::hours{1}};
  table_mode mode = table_mode::up;
  std::vector<agent_invariant_broken> broken;
  /// Gossip that the agent sent and nobody has taken yet.
  std::vector<agent_send_gossip> outbox;

 private:
  void take_in(const actions& taken, actions& all);
  actions submit(const agent_submit_table& call);
  table_reply call_table(const table_request& request);

  std::deque<agent_submit_table> held;
  std::deque<agent_submit_table> orphans;
  vm_snapshot vms;
};

/// An offer of a chat's attempt with ample time.
attempt_offered offer(const std::string& attempt, const std::string& customer = "school");

/// An offer of an at-most-once call.
attempt_offered payment(const std::string& attempt, const std::string& key);

/// The whole answer of an attempt.
endpoint_finished finished(const std::string& attempt);

endpoint_failed crashed(const std::string& attempt);

/// The actions of one kind, in order.
template <class Action>
std::vector<Action> all_of_kind(const actions& list) {
  std::vector<Action> found;
  for (const agent_action& action : list) {
    if (const Action* wanted = std::get_if<Action>(&action)) {
      found.push_back(*wanted);
    }
  }
  return found;
}

template <class Action>
std::size_t count_of_kind(const actions& list) {
  return all_of_kind<Action>(list).size();
}

/// The one refusal in the list; fails the test if there is none.
refusal_kind refusal_in(const actions& list);

}  // namespace chestnuthead
