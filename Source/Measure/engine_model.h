#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

#include "chestnuthead/clock.h"
#include "chestnuthead/ids.h"

#include "Measure/event_queue.h"

namespace chestnuthead {

/// Engine behaviour that affects routing.
struct engine_parameters {
  /// Maximum number of requests in a batch; further ones wait in the engine.
  std::uint32_t batch_limit = 16;
  /// Capacity of the prefix cache in tokens.
  std::uint64_t cache_tokens = 400'000;
  /// Rate at which prompt tokens outside the cache are computed.
  double prefill_tokens_per_second = 6'000.0;
  /// Time per token of a single request, and the time that each concurrent request
  /// adds.
  std::chrono::microseconds token_time{15'000};
  std::chrono::microseconds token_time_per_other{1'200};
  /// Time for which an engine stays cold after its start.
  std::chrono::milliseconds cold_time{20'000};
  /// Concurrent requests that a cold engine supports; one more makes it crash.
  std::uint32_t cold_request_limit = 4;
  /// Factor by which computation takes longer while cold.
  double cold_slowdown = 3.0;
  /// Time from a crash until the engine is up again, cold and with an empty cache.
  std::chrono::milliseconds restart_time{15'000};
};

/// One request to an engine.
struct engine_call {
  attempt_id attempt;
  chat_id chat;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
};

/// A model engine with continuous batching, a limited prefix cache and a cold
/// start, on a virtual clock.
class engine_model {
 public:
  engine_model(event_queue& queue, const engine_parameters& parameters);

  // Event callbacks, set by the owner.
  std::function<void(const attempt_id&)> on_first_byte;
  /// The second argument is the number of prompt tokens found in the cache.
  std::function<void(const engine_call&, std::uint32_t)> on_finished;
  std::function<void(const attempt_id&)> on_failed;
  std::function<void()> on_ready;

  void start(const engine_call& call);
  void cancel(const attempt_id& attempt);
  /// Stops the engine and fails all its calls; it restarts cold with an empty cache.
  void replace();

  [[nodiscard]] bool up() const;
  [[nodiscard]] bool cold() const;
  /// Number of running and waiting requests.
  [[nodiscard]] std::size_t in_flight() const;
  /// Number of tokens of the chat's prefix in the cache.
  [[nodiscard]] std::uint32_t resident_tokens(const chat_id& chat) const;

  /// Highest number of concurrent requests while cold, and the number of crashes,
  /// so far.
  [[nodiscard]] std::size_t peak_while_cold() const;
  [[nodiscard]] std::size_t crashes() const;

 private:
  struct cached_prefix {
    std::uint32_t tokens = 0;
    std::list<chat_id>::iterator place;
  };

  void begin(const engine_call& call);
  void crash();
  void finish(const attempt_id& attempt, std::uint32_t cached);
  void restart();
  void store_prefix(const chat_id& chat, std::uint32_t tokens);
  [[nodiscard]] std::chrono::microseconds prefill_time(std::uint32_t tokens) const;
  [[nodiscard]] std::chrono::microseconds decode_time(std::uint32_t tokens) const;

  event_queue& queue;
  engine_parameters parameters;
  bool is_up = true;
  std::uint64_t incarnation = 0;
  steady_time cold_until{};
  std::map<attempt_id, engine_call> running;
  std::deque<engine_call> waiting;
  std::unordered_map<chat_id, cached_prefix> cache;
  std::list<chat_id> by_last_use;
  std::uint64_t cached_tokens = 0;
  std::size_t cold_peak = 0;
  std::size_t crash_count = 0;
};

}  // namespace chestnuthead
