#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chestnuthead/memory_table.h"
#include "chestnuthead/seeded_random.h"

#include "Ledger/ledger.h"
#include "Ledger/sealer.h"

namespace chestnuthead {

/// How a run of the ledger is disturbed; chances are in percent.
struct ledger_faults {
  std::uint64_t seed = 1;
  int agents = 3;
  int keys = 4;
  int requests = 40;
  int refused = 5;
  int lost_before = 5;
  int lost_after = 10;
  int applied_late = 5;
  int frozen = 5;
  int killed = 3;
  /// Switches that show what the mechanisms are for.
  bool claims_needed = true;
  bool seals_needed = true;
};

/// What a run has shown.
struct ledger_findings {
  int executions = 0;
  int duplicate_executions = 0;
  int false_not_run = 0;
  int false_answers = 0;
  int told_not_run = 0;
  int undecided = 0;
  int decided_twice = 0;
  int answers_replayed = 0;
  std::uint64_t claims_overtaken = 0;
};

/// Agents' ledgers and routers' sealers over one table, on a virtual clock,
/// with every delivery in the hands of a seeded random source.
class ledger_world {
 public:
  explicit ledger_world(const ledger_faults& faults);
  ledger_world(const ledger_world&) = delete;
  ledger_world& operator=(const ledger_world&) = delete;
  ~ledger_world();

  /// Plays all requests, then lets everything settle without new faults.
  ledger_findings run();

 private:
  struct agent;
  struct request;

  void at(std::chrono::milliseconds delay, std::function<void()> action);
  void at_agent(std::size_t index, std::uint64_t incarnation, std::function<void()> action);
  bool chance(int percent);
  std::chrono::milliseconds some_time(int most_ms);
  void call_table(const table_call& ask, const std::function<void(table_reply)>& reply);
  void carry_out(std::size_t index, const ledger_output& output);
  void take_decision(std::size_t index, const ledger_decision& decision);
  void execute(std::size_t index, const attempt_id& attempt);
  void carry_out(const sealer_output& output);
  void dispatch(std::size_t request_index);
  void give_up(std::size_t request_index);
  void disturb_agents();
  void tick_all();
  void check_at_end();

  ledger_faults faults;
  ledger_findings findings;
  seeded_random random;
  memory_table table;
  steady_time now{};
  bool calm = false;
  std::uint64_t next_event = 0;
  std::map<std::pair<steady_time, std::uint64_t>, std::function<void()>> events;
  std::vector<std::unique_ptr<agent>> agents;
  std::vector<request> requests;
  sealer_ptr seals;
  std::map<attempt_id, std::size_t> request_of;
  std::map<attempt_id, int> decisions;
  std::set<request_id> not_run;
  std::map<std::string, std::vector<attempt_id>> executed;
  std::uint64_t attempts = 0;
};

}  // namespace chestnuthead
