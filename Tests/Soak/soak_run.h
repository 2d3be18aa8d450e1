#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chestnuthead/seeded_random.h"

#include "Base/process_clock.h"
#include "Traffic/event_loop.h"
#include "soak_caller.h"
#include "soak_checks.h"
#include "soak_endpoint.h"
#include "soak_gateway.h"
#include "soak_store.h"
#include "soak_tasks.h"

namespace chestnuthead::soak {

struct soak_options {
  std::uint64_t seed = 1;
  /// How long faults are injected.
  std::chrono::seconds length{20};
  std::string gateway_program;
  /// Settings, logs and the schedule are kept here.
  std::string folder;
  int gateways = 3;
  int callers = 24;
  /// Times that the store comes back from a copy, beside the schedule of faults.
  int store_copies = 0;
  /// Faults of the schedule that are left out, by their numbers.
  std::set<std::size_t> left_out;
};

/// One run: gateways as processes, everything around them on one event loop.
class soak_run {
 public:
  explicit soak_run(soak_options options);

  /// Plays the schedule and returns the promises that were not kept.
  std::vector<std::string> play();

  /// Faults that the seed's schedule has, those left out included.
  [[nodiscard]] std::size_t faults() const {
    return this->fault_count;
  }

 private:
  void build();
  void write_configuration();
  void write_to_store(const std::string& table, const std::string& key, const std::string& value);
  void list(const std::string& endpoint, const std::string& state);
  void schedule_faults();
  /// Each fault draws from a source of its own, so that it stays the same when
  /// others are left out.
  void inject(std::size_t number);
  void disturb_gateway(soak_gateway& gateway);
  void disturb_store();
  void disturb_endpoint(soak_endpoint& endpoint);
  /// The store comes back from a copy; operators and endpoints write again what it lost.
  void restore_store(seeded_random& dice);
  void schedule_copies();
  void revoke_key();
  void planned_change();
  void stop_in_order(soak_gateway& gateway);
  void note(const std::string& what);
  void disturb(const std::string& process, std::chrono::milliseconds length);
  void keep_gateways_up();
  void keep_callers_busy();
  void ask(soak_caller& caller);
  void round();
  [[nodiscard]] bool all_served_again();

  std::chrono::milliseconds between(int least, int most);
  soak_gateway& any_gateway(random_source& source);
  soak_endpoint& any_endpoint();

  soak_options options;
  suspend_aware_clock time;
  /// For callers, whose requests depend on how the run goes.
  seeded_random random;
  /// For the fault that is being injected.
  seeded_random fault_random;
  std::size_t fault_count = 0;
  traffic::event_loop loop;
  task_queue tasks;
  execution_book book;
  soak_history history;
  std::unique_ptr<row_store> store;
  std::vector<std::unique_ptr<soak_gateway>> gateways;
  std::vector<std::unique_ptr<soak_endpoint>> endpoints;
  std::vector<std::unique_ptr<soak_caller>> callers;
  std::vector<std::string> keys;
  std::string schedule;
  std::uint64_t configuration_version = 0;
  /// What operators and endpoints have written last, with the endpoints' heartbeats.
  std::string configuration;
  std::map<std::string, std::string> states;
  std::map<std::string, int> starts;
  std::uint64_t heartbeats = 0;
  std::uint64_t asked = 0;
  int served_in_row = 0;
  bool calm = false;
  steady_time began_at{};
};

}  // namespace chestnuthead::soak
