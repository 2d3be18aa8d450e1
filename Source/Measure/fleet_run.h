#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "chestnuthead/seeded_random.h"

#include "Measure/baseline_fleet.h"
#include "Measure/fleet.h"
#include "Measure/routed_fleet.h"
#include "Measure/workload.h"

namespace chestnuthead {

/// The product's policy (`ours`) or a baseline's.
enum class measured_policy : std::uint8_t {
  ours,
  random,
  two_choices,
  rendezvous,
  bounded,
  full_knowledge,
};

/// The policy with that name, or an error message.
std::variant<measured_policy, std::string> policy_of(const std::string& name);

/// One run of a workload on a fleet.
struct run_parameters {
  measured_policy policy = measured_policy::ours;
  std::uint64_t seed = 1;
  fleet_parameters shape;
  workload_parameters callers;
  /// Excluded from all results, so that measurement starts with warm caches and
  /// limits.
  std::chrono::seconds warm_up{240};
  std::chrono::seconds length{1'200};
};

/// Requests in flight at each endpoint at one time.
struct load_sample {
  std::chrono::milliseconds when{0};
  std::vector<std::uint32_t> in_flight;
};

/// Counts and samples of one run, from the end of its warm-up.
struct run_findings {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  std::uint64_t returning_turns = 0;
  std::uint64_t reusable_tokens = 0;
  std::uint64_t reused_tokens = 0;
  std::vector<std::chrono::microseconds> first_bytes;
  std::vector<load_sample> loads;
  std::uint64_t engine_crashes = 0;
  std::size_t peak_while_cold = 0;
  /// Probes that routers sent to agents, including those during the warm-up.
  std::uint64_t probes = 0;
  /// Number of broken invariants in the cores, over all names.
  std::uint64_t invariants_broken = 0;
};

/// Runs one workload; owns the event queue, random source, fleet and callers.
class fleet_run {
 public:
  explicit fleet_run(const run_parameters& parameters);

  /// Schedules an action at `when` after the end of the warm-up.
  void at(std::chrono::milliseconds when, std::function<void(fleet&)> action);

  /// Runs the warm-up and the measured time and returns the findings.
  run_findings play();

  event_queue queue;

  [[nodiscard]] fleet& modelled_fleet();
  /// The fleet as a `routed_fleet`, or nullptr for a baseline.
  [[nodiscard]] routed_fleet* ours();

 private:
  void record_outcome(const planned_request& request, const request_outcome& outcome);
  void sample();
  void complete_findings();

  run_parameters parameters;
  seeded_random random;
  std::unique_ptr<fleet> engines;
  std::unique_ptr<workload> callers;
  run_findings findings;
  bool counting = false;
  steady_time counting_since{};
};

}  // namespace chestnuthead
