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

/// What a random run plays with; each switch turns a mechanism off.
struct run_options {
  int steps = 400;
  pool_kind kind = pool_kind::plain_service;
  bool claims = true;
  bool memory = true;
  bool drain = true;
};

/// Some agents before one table. Attempts are offered, repeated, withdrawn and
/// answered at random, while agents are killed and paused, engines crash, and
/// the table is slow, down or loses its answers. What callers would see is
/// checked here, apart from the agents' own invariants.
class agent_run {
 public:
  agent_run(std::uint64_t seed, const run_options& options);

  /// Plays the steps, then lets everything come to its end.
  void play();

  /// What was seen and must not be; empty if all was well.
  std::vector<std::string> faults;
  /// How often the interesting things happened, by name.
  std::map<std::string, int> seen;

 private:
  struct attempt_fate {
    std::size_t agent = 0;
    attempt_offered offer;
    int accepted = 0;
    int refused = 0;
    int ran = 0;
    int ended = 0;
    bool complete = false;
    /// Its agent was killed, or it was withdrawn before it came.
    bool excused = false;
  };

  struct agent_at_work {
    std::unique_ptr<agent_bench> bench;
    std::set<std::string> at_endpoint;
    /// Rounds of time for which the process is paused, and what waits for it.
    int paused = 0;
    std::deque<agent_event> mailbox;
    /// It has ended its planned stop.
    bool stopped = false;
  };

  void play_step();
  void offer_new();
  void offer_again();
  void withdraw_one();
  void answer_one();
  void play_fault();
  void kill(std::size_t index);
  void crash_engine(std::size_t index);
  void change_table(std::size_t index);
  void change_orders();
  void take_stop(std::size_t index);
  void pass_time();
  void settle();
  void check_ends();

  void resume(std::size_t index);
  void send(std::size_t index, const agent_event& event);
  void take_in(std::size_t index, const actions& list);
  void take_run(std::size_t index, const run_on_endpoint& action);
  void take_end(const end_attempt& action);
  void fault(const std::string& what, const std::string& where);
  std::size_t pick(std::size_t bound);
  bool chance(std::uint64_t one_in);

  run_options options;
  seeded_random random;
  memory_table table;
  bool domain_out = false;
  std::vector<agent_at_work> agents;
  std::map<std::string, attempt_fate> fates;
  /// The attempts that reached an endpoint, by key.
  std::map<std::string, std::set<std::string>> runs_of_key;
  int next_attempt = 0;
};

}  // namespace chestnuthead
