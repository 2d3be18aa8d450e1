#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "chestnuthead/seeded_random.h"

#include "Router/router_fixture.h"

namespace chestnuthead {

/// A router core that meets random answers, losses, pauses, failure domains
/// taken out and brought back, and crashing requests; it checks every action.
class routing_world {
 public:
  explicit routing_world(std::uint64_t seed);

  /// Plays so many random steps, then a planned stop.
  void play(int steps);

  /// What went against the promises, in words; empty if nothing did.
  [[nodiscard]] std::vector<std::string> faults() const;

  router_fixture router;
  std::map<std::string, int> ends;

 private:
  struct open_attempt {
    send_attempt order;
    bool accepted = false;
    bool refused = false;
  };

  void play_step();
  void submit();
  void answer_one();
  void answer_probe();
  void answer_attempt(std::map<attempt_id, open_attempt>& table);
  void move_failure_domain();
  void tell_of_crash();
  void check(const std::vector<router_action>& actions);
  void check_attempt(const send_attempt& order);
  void note_final(const request_id& request, const std::string& how);
  void complain(const std::string& what);
  std::uint64_t below(std::uint64_t bound);

  seeded_random random;
  std::map<request_id, steady_time> deadlines;
  std::map<request_id, int> attempts;
  std::map<request_id, std::uint64_t> bytes;
  std::set<request_id> accepted;
  std::set<request_id> completed;
  std::map<request_id, int> finals;
  std::map<attempt_id, open_attempt> open;
  std::map<attempt_id, open_attempt> former;
  std::vector<send_probe> probes;
  std::vector<std::string> complaints;
  bool stopped = false;
};

}  // namespace chestnuthead
