#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chestnuthead/memory_table.h"
#include "chestnuthead/router_core.h"
#include "chestnuthead/seeded_random.h"

#include "Ledger/ledger.h"
#include "Router/router_fixture.h"

namespace chestnuthead {

/// Simulates a router core, agents with real ledgers, and a table whose calls
/// are slow, are refused or lose their replies. Messages are delayed, lost, or
/// arrive after the link was reported broken. Records which calls actually ran.
class payment_simulation {
 public:
  explicit payment_simulation(std::uint64_t seed);

  /// Sends `calls` at-most-once calls, some with the key of an earlier one, and
  /// runs until every call is answered and no work is pending.
  void run_calls(int calls);

  /// Descriptions of all violated guarantees; empty if there are none.
  [[nodiscard]] std::vector<std::string> faults() const;

  router_fixture router;
  int not_run_reports = 0;
  int unknown_reports = 0;
  int finished = 0;

 private:
  using work = std::function<void()>;

  void schedule(int most_milliseconds, work task);
  void submit(int call);
  void process_actions(const std::vector<router_action>& actions);
  void send(const send_attempt& attempt);
  void deliver_attempt(const send_attempt& attempt);
  void process_output(const node_id& agent, const ledger_output& output);
  void call_table(const node_id& agent, const table_call& ask);
  void decide(const node_id& agent, const ledger_decision& decision);
  void run_attempt(const node_id& agent, const send_attempt& attempt);
  void send_to_router(const router_event& event);
  void record_final_action(const request_id& request);
  void advance();

  seeded_random random;
  std::multimap<steady_time, work> tasks;
  std::map<node_id, ledger_ptr> ledgers;
  std::map<attempt_id, send_attempt> sent;
  std::map<idempotency_key, int> runs;
  std::set<request_id> ran;
  std::set<request_id> reported_not_run;
  std::map<request_id, int> final_actions;
};

}  // namespace chestnuthead
