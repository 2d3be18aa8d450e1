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

/// A router core, agents that each keep a real ledger, and a table whose calls
/// are slow, refused or lose their answer. Messages between them are late,
/// lost, or come after the link was given up. It knows what truly ran.
class payment_world {
 public:
  explicit payment_world(std::uint64_t seed);

  /// Sends `calls` at-most-once calls, some under the key of an earlier one,
  /// and plays until each has its answer and nothing is under way.
  void play(int calls);

  /// What went against the promises, in words; empty if nothing did.
  [[nodiscard]] std::vector<std::string> faults() const;

  router_fixture router;
  int told_not_run = 0;
  int told_unknown = 0;
  int finished = 0;

 private:
  using work = std::function<void()>;

  void later(int most_milliseconds, work task);
  void submit(int call);
  void carry_out(const std::vector<router_action>& actions);
  void send(const send_attempt& attempt);
  void offer(const send_attempt& attempt);
  void follow(const node_id& agent, const ledger_output& output);
  void ask_table(const node_id& agent, const table_call& ask);
  void decide(const node_id& agent, const ledger_decision& decision);
  void run(const node_id& agent, const send_attempt& attempt);
  void reply(const router_event& event);
  void note_final(const request_id& request);
  void advance();

  seeded_random random;
  std::multimap<steady_time, work> tasks;
  std::map<node_id, ledger_ptr> ledgers;
  std::map<attempt_id, send_attempt> sent;
  std::map<idempotency_key, int> runs;
  std::set<request_id> ran;
  std::set<request_id> said_not_run;
  std::map<request_id, int> finals;
};

}  // namespace chestnuthead
