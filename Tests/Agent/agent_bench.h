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

/// Behaviour of the fake table service.
enum class table_mode : std::uint8_t {
  up,
  /// Refuses every call.
  down,
  /// Executes calls, but their replies are lost.
  answers_lost,
  /// Holds calls back until `release_table`.
  held,
};

/// A configuration with one pool, small limits and two customers.
configuration_document small_document(pool_kind kind);

/// One agent on a virtual clock with a fake table service, which several benches
/// may share.
class agent_bench {
 public:
  explicit agent_bench(memory_table& shared_table, const std::string& name = "agent-1");

  /// Writes the document to the table; agents get it with their next read.
  static void store(memory_table& table, const configuration_document& document);

  /// Ticks until the configuration is confirmed, then reports the endpoint as
  /// ready. Fails the test if the configuration is not confirmed in time.
  void start();

  /// Handles one event; returns its actions and those of all table replies that
  /// result from it.
  actions send(const agent_event& event);

  /// Advances the clock tick by tick.
  actions pass(std::chrono::milliseconds time);

  /// Executes the calls that were held back and sets the mode to `up`.
  actions release_table();

  /// Replaces the VM list by `count` peers and sends their loads by gossip.
  void add_peers(std::uint32_t count, std::uint32_t load);

  /// Sets the VM list that the agent reads from now on.
  void list_vms(const vm_snapshot& list);

  /// Restarts the agent with empty state, as after kill -9. Calls that were held
  /// back may still take effect.
  void restart();

  /// Executes the calls that were held back when the agent was killed.
  void apply_orphans();

  [[nodiscard]] std::uint32_t load() const;

  memory_table* table;
  agent_settings settings;
  seeded_random random{1};
  agent_state_ptr state;
  steady_time now{std::chrono::hours{1}};
  table_mode mode = table_mode::up;
  std::vector<agent_invariant_broken> broken;
  /// Gossip messages of the agent that have not been delivered yet.
  std::vector<agent_send_gossip> outbox;

 private:
  void process(const actions& taken, actions& all);
  actions submit(const agent_submit_table& call);
  table_reply call_table(const table_request& request);

  std::deque<agent_submit_table> held;
  std::deque<agent_submit_table> orphans;
  vm_snapshot vms;
};

/// An offer with a distant deadline.
attempt_offered offer(const std::string& attempt, const std::string& customer = "school");

/// An offer of an at-most-once call.
attempt_offered payment(const std::string& attempt, const std::string& key);

/// The event for a complete answer to the attempt.
endpoint_finished finished(const std::string& attempt);

endpoint_failed crashed(const std::string& attempt);

/// The actions of one type, in order.
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

/// The reason of the only refusal in the list; fails the test if there is not
/// exactly one.
refusal_kind refusal_in(const actions& list);

}  // namespace chestnuthead
