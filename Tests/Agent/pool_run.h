#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chestnuthead/memory_table.h"
#include "chestnuthead/seeded_random.h"

#include "Agent/agent_bench.h"

namespace chestnuthead {

struct pool_options {
  std::size_t endpoints = 12;
  /// Requests that arrive in one tick on the mean.
  double arrivals = 2.0;
  /// Share of the requests whose first choice is the same endpoint.
  double hot_share = 0.3;
  bool bound_by_mean = true;
  /// Exchange of gossip between the agents.
  bool gossip = true;
  /// Offers bring along the loads of the endpoints that refused before.
  bool pass_on_refused = true;
  /// Endpoints tried for one request.
  std::size_t choices = 6;
};

/// What was seen while the pool was under load.
struct pool_result {
  std::uint64_t offered = 0;
  /// Refused by all endpoints tried.
  std::uint64_t turned_away = 0;
  /// Refusals by one endpoint, the request going on to the next.
  std::uint64_t sent_on = 0;
  /// Admissions that left an endpoint above the bound by the true mean.
  std::uint64_t above_true_bound = 0;
  /// The most requests that an admission left an endpoint above that bound.
  std::uint32_t highest_excess = 0;
  /// Highest load over the true mean, seen while the mean was at least 4.
  double highest_ratio = 0.0;
  std::uint64_t invariants_broken = 0;
};

/// The agents of one pool that pass on their loads to each other, under
/// requests that prefer some of them.
class pool_run {
 public:
  pool_run(std::uint64_t seed, const pool_options& options);

  /// Lets time pass under the present arrivals.
  void run(std::chrono::milliseconds time);

  /// What was seen since the last call.
  pool_result take_result();

  pool_options options;

 private:
  void tick();
  void finish_due();
  void arrive();
  std::vector<std::size_t> preference();
  bool offer_to(std::size_t index, const attempt_offered& event);
  void note_admission(std::size_t index);
  void pass_gossip();
  double true_mean() const;

  seeded_random random;
  memory_table table;
  std::vector<std::unique_ptr<agent_bench>> agents;
  std::map<std::string, std::size_t> index_of;
  /// Running attempts of each agent by the time of their end.
  std::vector<std::multimap<steady_time, std::string>> running;
  pool_result result;
  int next_attempt = 0;
};

}  // namespace chestnuthead
