#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Load/expected_answer.h"
#include "StandIns/prefix_cache.h"

namespace stand_in {

/// Options of the simulated model engine, one for each command-line flag.
struct engine_options {
  std::string name = "engine";
  /// Time between two tokens if a single request is running.
  std::uint64_t token_us = 1000;
  /// Relative growth of the token time with each further running request.
  double batch_slope = 0.05;
  std::uint64_t prefill_tokens_per_ms = 50;
  /// Requests that run at once; further ones are queued.
  std::uint64_t batch = 32;
  std::uint64_t cache_tokens = 200'000;
  /// Requests that a cold engine must complete to become warm.
  std::uint64_t cold_requests = 0;
  /// Requests at once, queued ones included, that a cold engine supports; one more crashes it.
  std::uint64_t cold_request_limit = 2;
  /// Age of the reported load.
  std::uint64_t load_lag_ms = 1000;
  /// A request with a message that contains this text crashes the engine. Empty for none.
  std::string crash_word;
  bool check_fencing = false;
};

/// One parsed chat-completions request.
struct engine_request {
  std::vector<chestnuthead::chat_message> messages;
  std::uint32_t answer_tokens = 16;
  /// Requests with a higher value run first.
  std::int64_t priority = 0;
};

struct engine_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// Simulates the timing, batching, prefix cache and faults of a model engine. Thread-safe.
class model_engine {
 public:
  explicit model_engine(const engine_options& options);

  /// Waits for a free slot in the batch, simulates the prefill, and passes each token to `emit`
  /// when it is due. Returns the number of prompt tokens that were found in the cache.
  std::uint32_t run(const engine_request& request,
                    const std::function<void(const std::string&)>& emit);

  /// The load as it was `load_lag_ms` ago.
  engine_load reported_load();

  /// False if fencing is checked and an earlier request had a higher fencing number.
  bool accept_fencing_number(std::uint64_t number);

  /// Clears the cache and makes the engine cold again.
  void reset_to_cold();

  /// Exits the process at once, as in a crash.
  [[noreturn]] static void crash();

 private:
  /// Negated priority, then arrival number; the lowest ticket runs first.
  using ticket = std::pair<std::int64_t, std::uint64_t>;

  void acquire_slot(const engine_request& request);
  void release_slot();
  void record_load();
  std::chrono::microseconds token_time();
  std::uint32_t prefill(const engine_request& request);

  engine_options options;
  std::mutex guard;
  std::condition_variable slot_released;
  prefix_cache cache;
  std::set<ticket> waiting;
  std::uint64_t arrivals = 0;
  std::uint32_t running = 0;
  std::uint64_t warm_up_requests_left = 0;
  std::uint64_t highest_fencing = 0;
  std::deque<std::pair<std::chrono::steady_clock::time_point, engine_load>> load_history;
};

}  // namespace stand_in
