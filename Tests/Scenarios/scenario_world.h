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

/// What happened to the requests of a scenario so far.
struct scenario_counts {
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  std::uint64_t reusable_tokens = 0;
  std::uint64_t reused_tokens = 0;
  std::map<std::string, std::uint64_t> errors;
};

/// The fleet and callers of one scenario, built by the verb `fleet`.
struct scenario::world {
  fleet_parameters shape;
  workload_parameters chats;
  payment_parameters payments;
  std::uint64_t seed = 1;

  event_queue queue;
  std::unique_ptr<seeded_random> random;
  std::unique_ptr<routed_fleet> fleet;
  std::unique_ptr<workload> callers;
  std::unique_ptr<payment_callers> payers;
  scenario_counts counts;
  std::map<std::string, steady_time> marks;
  std::vector<std::string> failures;
  std::uint64_t expectations = 0;
};

/// Builds the fleet and begins its callers.
void begin_world(scenario::world& world);

/// Lets virtual time pass.
void run_world(scenario::world& world, std::chrono::milliseconds length);

/// A figure by its name, as scripts ask for it; false if there is none such.
bool find_figure(const scenario::world& world, const std::string& name, double& figure);

}  // namespace chestnuthead
