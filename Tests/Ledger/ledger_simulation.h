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

/// Fault injection for one run of the ledger; probabilities are in percent.
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
  /// Mechanisms that a test disables to show what they prevent.
  bool claims_enabled = true;
  bool seals_enabled = true;
};

/// Results of a run.
struct ledger_findings {
  int executions = 0;
  int duplicate_executions = 0;
  int false_not_run = 0;
  int false_answers = 0;
  int not_run_reports = 0;
  int undecided = 0;
  int decided_twice = 0;
  int answers_replayed = 0;
  std::uint64_t claims_overtaken = 0;
};

/// Simulates agents' ledgers and routers' sealers over one table on a virtual
/// clock. A seeded random source decides the delay and loss of every delivery.
class ledger_simulation {
 public:
  explicit ledger_simulation(const ledger_faults& faults);
  ledger_simulation(const ledger_simulation&) = delete;
  ledger_simulation& operator=(const ledger_simulation&) = delete;
  ~ledger_simulation();

  /// Runs all requests, then continues without new faults until everything is
  /// settled.
  ledger_findings run();

 private:
  struct agent;
  struct request;

  void schedule(std::chrono::milliseconds delay, std::function<void()> action);
  void deliver_to_agent(std::size_t index, std::uint64_t incarnation, std::function<void()> action);
  bool chance(int percent);
  std::chrono::milliseconds some_time(int most_ms);
  void call_table(const table_call& ask, const std::function<void(table_reply)>& reply);
  void process_output(std::size_t index, const ledger_output& output);
  void handle_decision(std::size_t index, const ledger_decision& decision);
  void execute(std::size_t index, const attempt_id& attempt);
  void process_output(const sealer_output& output);
  void dispatch(std::size_t request_index);
  void give_up(std::size_t request_index);
  void inject_agent_faults();
  void tick_all();
  void check_at_end();

  ledger_faults faults;
  ledger_findings findings;
  seeded_random random;
  memory_table table;
  steady_time now{};
  bool faults_disabled = false;
  std::uint64_t next_event = 0;
  std::map<std::pair<steady_time, std::uint64_t>, std::function<void()>> events;
  std::vector<std::unique_ptr<agent>> agents;
  std::vector<request> requests;
  sealer_ptr key_sealer;
  std::map<attempt_id, std::size_t> request_of;
  std::map<attempt_id, int> decisions;
  std::set<request_id> not_run;
  std::map<std::string, std::vector<attempt_id>> executed;
  std::uint64_t attempts = 0;
};

}  // namespace chestnuthead
