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
  /// Period in which faults are injected.
  std::chrono::seconds length{20};
  std::string gateway_program;
  /// Settings files, logs and the schedule are written here.
  std::string folder;
  int gateways = 3;
  int callers = 24;
  int engines = 4;
  /// Number of times that the store is restored from a copy, besides the scheduled faults.
  int store_copies = 0;
  /// Number of moments at which sound endpoints fall silent, besides the scheduled faults.
  int silences = 0;
  /// Requests with a certain part of the prompt crash endpoints.
  bool crashing_part = false;
  /// Some endpoints answer with neither a length nor chunks.
  bool unframed = false;
  /// Number of releases of the writers' software, in place of the scheduled faults.
  int releases = 0;
  /// The writers' route is split over two pools.
  bool split_writers = false;
  /// Number of moments at which engines turn cold, besides the scheduled faults.
  int cold_starts = 0;
  /// Cold engines crash when they get more requests than they bear.
  bool flood_crashes = false;
  /// Numbers of the scheduled faults that are skipped.
  std::set<std::size_t> left_out;
};

/// One soak run: gateways are processes; callers, endpoints, store and proxies run on one
/// event loop in this process.
class soak_run {
 public:
  explicit soak_run(soak_options options);

  /// Runs the schedule and returns the violated guarantees, one sentence each.
  std::vector<std::string> run_schedule();

  /// Number of faults in the schedule of the seed, skipped ones included.
  [[nodiscard]] std::size_t scheduled_faults() const {
    return this->fault_count;
  }

 private:
  void set_up();
  void choose_unframed_endpoints();
  void write_configuration();
  void write_to_store(const std::string& table, const std::string& key, const std::string& value);
  void write_endpoint(const std::string& endpoint, const std::string& state);
  void schedule_faults();
  /// Each fault has its own random source, seeded by its number, so that it stays the same
  /// when other faults are skipped.
  void inject_fault(std::size_t number);
  void disturb_gateway(soak_gateway& gateway);
  void disturb_store();
  void disturb_endpoint(soak_endpoint& endpoint);
  /// Restores the store from a copy; later operators and endpoints write the lost rows again.
  void restore_store(seeded_random& restore_random);
  void schedule_store_restores();
  void schedule_silences();
  void schedule_crashing_part();
  /// Sends a request with the crashing part and schedules the next one.
  void send_crashing_request();
  /// Resets all connections of the endpoint and starts it anew later.
  void crash_endpoint(soak_endpoint& endpoint, const std::string& request);
  /// Resets all connections of the endpoint and starts it anew after this time unless it has left.
  void take_down(soak_endpoint& endpoint, std::chrono::milliseconds absence, bool removes_row);
  void schedule_cold_starts();
  /// Kills each gateway, or each one in `every`.
  void kill_gateways(std::size_t every);
  /// The links of all gateways drop the store's bytes.
  void silence_store(std::chrono::milliseconds length);
  /// The first warm engine in service from this number on; nullptr if there is none.
  soak_endpoint* find_warm_engine(std::size_t first);
  void add_cold_endpoint(std::uint64_t seed);
  /// Resets all connections of the endpoint and starts it later, cold.
  void restart_cold(soak_endpoint& endpoint, std::chrono::milliseconds absence,
                    std::chrono::milliseconds row_lag, bool removes_row);
  /// The endpoint is cold from now on. Its row says so after `row_lag`.
  void begin_cold_time(soak_endpoint& endpoint, std::chrono::milliseconds row_lag, bool in_place);
  /// Crashes the endpoint if more requests than it bears arrive in a second of this cold start.
  void crash_when_flooded(soak_endpoint& endpoint, std::size_t number);
  void list_cold(soak_endpoint& endpoint, std::size_t number);
  /// Prints and adds the most requests that a cold endpoint got in one second.
  void write_cold_summary();
  /// The gateway of a new caller.
  soak_gateway& choose_callers_gateway();
  /// Creates the endpoints of all versions that write streams and lists those of the first one.
  void set_up_writers();
  void schedule_releases();
  /// Lists the writers of the next version, lets those of this one leave, and kills all gateways
  /// twice meanwhile.
  void schedule_release(int version, std::chrono::milliseconds begin);
  void end_writer(soak_endpoint& writer);
  /// Takes down one of the writers that serve.
  void crash_writer(std::chrono::milliseconds absence);
  void kill_all_gateways();
  [[nodiscard]] bool is_serving(const soak_endpoint& endpoint) const;
  /// True if two endpoints of the software that began the stream serve.
  [[nodiscard]] bool two_serve(const writing& stream) const;
  [[nodiscard]] std::vector<soak_endpoint*> writers_of(const std::string& version) const;
  /// Creates the writers of a version in one pool. Their names begin with `name`.
  void add_writers(const std::string& name, const std::string& version,
                   const std::string& software);
  /// Starts a stream of a writer and schedules the next one.
  void begin_writing();
  void send_attempt(writing& stream);
  void end_attempt(writing& stream, const soak_request& attempt);
  std::chrono::milliseconds draw_time(int least, int most);
  /// Makes one, half or all of the endpoints send nothing for a while.
  void silence_endpoints(seeded_random& silence_random);
  void revoke_key();
  void inject_planned_change();
  void stop_gracefully(soak_gateway& gateway);
  void log_event(const std::string& what);
  void record_disturbance(const std::string& process, disturbed_part part,
                          std::chrono::milliseconds length);
  void restart_ended_gateways();
  void keep_callers_busy();
  std::string next_request_id();
  void send_next_request(soak_caller& caller);
  void run_step();
  [[nodiscard]] bool has_recovered();
  /// Prints and adds how many streams of writers began and went on, and in which versions.
  void write_writing_summary();
  /// Adds how many answers were unframed and how many streams were broken off and resumed.
  void write_unframed_summary();

  std::chrono::milliseconds random_duration(int least, int most);
  soak_gateway& pick_gateway(random_source& source);
  soak_endpoint& pick_endpoint();

  soak_options options;
  suspend_aware_clock time;
  /// For callers, whose draws depend on the timing of the run, and for the endpoints' seeds.
  seeded_random caller_random;
  /// For the fault that is being injected; reseeded for each fault.
  seeded_random fault_random;
  /// For requests with the crashing part and for the crashes.
  seeded_random crash_random;
  /// For the releases, their crashes and the callers of writers.
  seeded_random release_random;
  std::size_t fault_count = 0;
  /// Endpoints of the start, to which other faults are limited.
  std::size_t first_endpoints = 0;
  steady_time callers_wait_until{};
  /// Longest time that one step of the event loop took; requests seem to arrive together in it.
  std::chrono::milliseconds longest_step{0};
  traffic::event_loop loop;
  task_queue tasks;
  execution_log executions;
  soak_history history;
  std::unique_ptr<row_store> store;
  std::vector<std::unique_ptr<soak_gateway>> gateways;
  std::vector<std::unique_ptr<soak_endpoint>> endpoints;
  std::vector<std::unique_ptr<soak_caller>> callers;
  /// Callers of writers, by attempt.
  std::map<std::string, std::unique_ptr<soak_caller>> writing_callers;
  std::vector<std::string> keys;
  std::string schedule;
  std::uint64_t configuration_version = 0;
  /// The last configuration and the state in each endpoint's last row. Both are written again
  /// after a restore of the store.
  std::string configuration;
  std::map<std::string, std::string> endpoint_states;
  std::map<std::string, int> endpoint_restarts;
  /// Sequence number of the last endpoint row; a higher number than before counts as a heartbeat.
  std::uint64_t heartbeat_sequence = 0;
  std::uint64_t requests_sent = 0;
  /// Consecutive requests that were answered completely with status 200.
  int answered_in_row = 0;
  bool faults_ended = false;
  steady_time started_at{};
};

}  // namespace chestnuthead::soak
