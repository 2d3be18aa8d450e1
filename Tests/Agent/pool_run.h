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
  /// Mean number of requests that arrive per tick.
  double arrivals = 2.0;
  /// Fraction of the requests whose first choice is the same endpoint.
  double hot_share = 0.3;
  bool bound_by_mean = true;
  /// Gossip between the agents is delivered.
  bool gossip = true;
  /// Offers carry the loads of the endpoints that refused the request before.
  bool send_refused_loads = true;
  /// Maximum number of endpoints tried per request.
  std::size_t choices = 6;
};

/// Measurements of a run.
struct pool_result {
  std::uint64_t offered = 0;
  /// Requests refused by all endpoints tried.
  std::uint64_t refused_by_all = 0;
  /// Refusals by single endpoints.
  std::uint64_t single_refusals = 0;
  /// Admissions that raised an endpoint above the bound computed from the true
  /// mean.
  std::uint64_t above_true_bound = 0;
  /// Largest number of requests by which an admission exceeded that bound.
  std::uint32_t highest_excess = 0;
  /// Highest ratio of an endpoint's load to the true mean, while the mean was at
  /// least 4.
  double highest_ratio = 0.0;
  std::uint64_t invariants_broken = 0;
};

/// Simulation of the agents of one pool that gossip their loads, under requests
/// that prefer one of them.
class pool_run {
 public:
  pool_run(std::uint64_t seed, const pool_options& options);

  /// Runs the simulation for `time` at the current arrival rate.
  void run(std::chrono::milliseconds time);

  /// Measurements since the last call.
  pool_result take_result();

  pool_options options;

 private:
  void tick();
  void finish_due();
  void arrive();
  std::vector<std::size_t> preference();
  bool offer_to(std::size_t index, const attempt_offered& event);
  void note_admission(std::size_t index);
  void deliver_gossip();
  double true_mean() const;

  seeded_random random;
  memory_table table;
  std::vector<std::unique_ptr<agent_bench>> agents;
  std::map<std::string, std::size_t> index_of;
  /// Running attempts of each agent by end time.
  std::vector<std::multimap<steady_time, std::string>> running;
  pool_result result;
  int next_attempt = 0;
};

}  // namespace chestnuthead
