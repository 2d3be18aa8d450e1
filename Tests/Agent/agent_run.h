#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chestnuthead/memory_table.h"
#include "chestnuthead/seeded_random.h"

#include "Agent/agent_bench.h"

namespace chestnuthead {

/// Options of a random run. A switch set to false turns a mechanism off.
struct run_options {
  int steps = 400;
  pool_kind kind = pool_kind::plain_service;
  bool claims = true;
  bool deduplication = true;
  bool drain = true;
};

/// Several agents that share one table. Attempts are offered, repeated, withdrawn
/// and answered at random, while agents are killed and paused, engines crash, and
/// the table is slow, down or loses replies. The outcomes that callers would see
/// are checked here, in addition to the agents' own invariants.
class agent_run {
 public:
  agent_run(std::uint64_t seed, const run_options& options);

  /// Performs the random steps, then waits until all attempts have ended.
  void execute();

  /// Violations found; empty if there were none.
  std::vector<std::string> faults;
  /// Number of occurrences of each kind of event, by name.
  std::map<std::string, int> seen;

 private:
  struct attempt_record {
    std::size_t agent = 0;
    attempt_offered offer;
    int accepted = 0;
    int refused = 0;
    int ran = 0;
    int ended = 0;
    bool complete = false;
    /// Not checked for completion: its agent was killed.
    bool agent_killed = false;
  };

  struct agent_process {
    std::unique_ptr<agent_bench> bench;
    std::set<std::string> at_endpoint;
    /// Remaining rounds for which the process is paused, and the events that
    /// arrived in the meantime.
    int paused = 0;
    std::deque<agent_event> mailbox;
    /// It has completed a planned stop.
    bool stopped = false;
  };

  void execute_step();
  void offer_new();
  void offer_again();
  void withdraw_one();
  void answer_one();
  void inject_fault();
  void kill(std::size_t index);
  void crash_engine(std::size_t index);
  void change_table(std::size_t index);
  void toggle_failure_domain_out();
  void record_stop(std::size_t index);
  void pass_time();
  void settle();
  void check_outcomes();

  void resume(std::size_t index);
  void send(std::size_t index, const agent_event& event);
  void process(std::size_t index, const actions& list);
  void record_run(std::size_t index, const run_on_endpoint& action);
  void record_end(const end_attempt& action);
  void fault(const std::string& what, const std::string& where);
  std::size_t pick(std::size_t bound);
  bool chance(std::uint64_t one_in);

  run_options options;
  seeded_random random;
  memory_table table;
  bool domain_out = false;
  std::vector<agent_process> agents;
  std::map<std::string, attempt_record> outcomes;
  /// The attempts that reached an endpoint, by idempotency key.
  std::map<std::string, std::set<std::string>> runs_of_key;
  int next_attempt = 0;
};

}  // namespace chestnuthead
