#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chestnuthead/seeded_random.h"

#include "Measure/event_queue.h"
#include "Measure/payment_callers.h"
#include "Measure/routed_fleet.h"
#include "Measure/workload.h"
#include "Scenarios/scenario.h"

namespace chestnuthead {

/// Outcomes of the requests of a scenario so far.
struct scenario_counts {
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  std::uint64_t reusable_tokens = 0;
  std::uint64_t reused_tokens = 0;
  std::map<std::string, std::uint64_t> errors;
};

/// The simulated fleet and callers of one scenario, created by the function `fleet`.
struct scenario::simulation {
  fleet_parameters shape;
  workload_parameters chats;
  payment_parameters payments;
  std::uint64_t seed = 1;

  event_queue queue;
  std::unique_ptr<seeded_random> random;
  std::unique_ptr<routed_fleet> fleet;
  std::unique_ptr<workload> chat_source;
  std::unique_ptr<payment_callers> payment_source;
  scenario_counts counts;
  std::map<std::string, steady_time> marks;
  std::vector<std::string> failures;
  std::uint64_t expectations = 0;
};

/// Builds the fleet and starts its callers.
void start_simulation(scenario::simulation& simulation);

/// Advances virtual time.
void advance_simulation(scenario::simulation& simulation, std::chrono::milliseconds length);

/// Looks up a figure by the name that scripts use. False if the name is unknown.
bool find_figure(const scenario::simulation& simulation, const std::string& name, double& figure);

}  // namespace chestnuthead
