#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "chestnuthead/seeded_random.h"

#include "Router/router_fixture.h"

namespace chestnuthead {

/// Runs a router core against random replies, lost links, pauses, failure
/// domains that are taken out and restored, and requests that crash endpoints.
/// Checks every action.
class routing_simulation {
 public:
  explicit routing_simulation(std::uint64_t seed);

  /// Runs `steps` random steps, then a planned stop.
  void run_steps(int steps);

  /// Descriptions of all violated guarantees; empty if there are none.
  [[nodiscard]] std::vector<std::string> faults() const;

  router_fixture router;
  std::map<std::string, int> outcome_counts;

 private:
  struct open_attempt {
    send_attempt order;
    bool accepted = false;
    bool refused = false;
  };

  void run_random_step();
  void submit();
  void answer_one();
  void answer_probe();
  void answer_attempt(std::map<attempt_id, open_attempt>& table);
  void move_failure_domain();
  void send_crash_rumor();
  void check(const std::vector<router_action>& actions);
  void check_attempt(const send_attempt& order);
  void record_final_action(const request_id& request, const std::string& how);
  void add_fault(const std::string& what);
  std::uint64_t below(std::uint64_t bound);

  seeded_random random;
  std::map<request_id, steady_time> deadlines;
  std::map<request_id, int> attempts;
  std::map<request_id, std::uint64_t> bytes;
  std::set<request_id> accepted;
  std::set<request_id> completed;
  std::map<request_id, int> final_actions;
  std::map<attempt_id, open_attempt> open;
  std::map<attempt_id, open_attempt> closed_attempts;
  std::vector<send_probe> probes;
  std::vector<std::string> recorded_faults;
  bool stopped = false;
};

}  // namespace chestnuthead
