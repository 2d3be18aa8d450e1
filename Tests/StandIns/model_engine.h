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

/// Switches of the stand-in model engine.
struct engine_options {
  std::string name = "engine";
  /// Time between two tokens of a request that runs alone.
  std::uint64_t token_us = 1000;
  /// Growth of the token time with each further running request.
  double batch_slope = 0.05;
  std::uint64_t prefill_tokens_per_ms = 50;
  /// Requests that run at once; the others wait.
  std::uint64_t batch = 32;
  std::uint64_t cache_tokens = 200'000;
  /// Requests that must finish before a cold engine is warm.
  std::uint64_t cold_requests = 0;
  /// Requests at once, waiting ones included, that a cold engine bears.
  std::uint64_t cold_bears = 2;
  std::uint64_t load_lag_ms = 1000;
  std::string crash_word;
  bool check_fencing = false;
};

/// One parsed chat-completions request.
struct engine_request {
  std::vector<chestnuthead::chat_message> messages;
  std::uint32_t answer_tokens = 16;
  /// Higher goes first.
  std::int64_t priority = 0;
};

struct engine_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// A model engine's timing, batching, prefix cache and faults. Safe for several
/// threads.
class model_engine {
 public:
  explicit model_engine(const engine_options& options);

  /// Waits for a place in the batch, computes the prompt, and gives each token
  /// to `emit` when it is due. Returns the prompt's tokens found in the cache.
  std::uint32_t run(const engine_request& request,
                    const std::function<void(const std::string&)>& emit);

  /// The load as it was a lag ago.
  engine_load reported_load();

  /// False if a request has come before with a higher fencing number.
  bool accepts_fencing(std::uint64_t number);

  /// The engine forgets its cache and is cold again.
  void turn_cold();

  /// Ends the process as a crash does.
  [[noreturn]] static void crash();

 private:
  /// Priority, lowest first, then order of arrival.
  using ticket = std::pair<std::int64_t, std::uint64_t>;

  void enter(const engine_request& request);
  void leave();
  void note_load();
  std::chrono::microseconds token_time();
  std::uint32_t prefill(const engine_request& request);

  engine_options options;
  std::mutex guard;
  std::condition_variable room;
  prefix_cache cache;
  std::set<ticket> waiting;
  std::uint64_t arrivals = 0;
  std::uint32_t running = 0;
  std::uint64_t cold_requests_left = 0;
  std::uint64_t highest_fencing = 0;
  std::deque<std::pair<std::chrono::steady_clock::time_point, engine_load>> load_history;
};

}  // namespace stand_in
