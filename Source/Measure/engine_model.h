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

/// How a model engine behaves, as far as routing can feel it.
struct engine_parameters {
  /// Requests that are computed at once; the rest waits in the engine.
  std::uint32_t batch_limit = 16;
  /// Tokens whose prefixes the engine can hold.
  std::uint64_t cache_tokens = 400'000;
  /// Prompt tokens computed a second when they are not in the cache.
  double prefill_tokens_per_second = 6'000.0;
  /// Time between tokens of a lone request, and what each other one adds.
  std::chrono::microseconds token_time{15'000};
  std::chrono::microseconds token_time_per_other{1'200};
  /// How long an engine that has started stays cold.
  std::chrono::milliseconds cold_time{20'000};
  /// Requests a cold engine bears; one more makes it fail.
  std::uint32_t cold_bears = 4;
  /// How much slower a cold engine is.
  double cold_slowness = 3.0;
  /// Time from a failure until the engine answers again, cold and empty.
  std::chrono::milliseconds restart_time{15'000};
};

/// One request as an engine sees it.
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

  // What the engine tells; set by the owner.
  std::function<void(const attempt_id&)> on_first_byte;
  /// With the prompt's tokens that were found in the cache.
  std::function<void(const engine_call&, std::uint32_t)> on_finished;
  std::function<void(const attempt_id&)> on_failed;
  std::function<void()> on_ready;

  void start(const engine_call& call);
  void cancel(const attempt_id& attempt);
  /// Ends the engine with all its work; it comes back cold and empty.
  void replace();

  [[nodiscard]] bool up() const;
  [[nodiscard]] bool cold() const;
  /// Requests being computed and waiting.
  [[nodiscard]] std::size_t in_flight() const;
  /// Tokens of the chat's prefix that are held.
  [[nodiscard]] std::uint32_t resident_tokens(const chat_id& chat) const;

  /// Most requests at once while cold, and the number of failures, so far.
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
  void remember(const chat_id& chat, std::uint32_t tokens);
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
