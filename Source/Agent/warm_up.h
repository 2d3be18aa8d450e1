#pragma once

#include <chrono>
#include <cstdint>

#include "chestnuthead/agent_core.h"
#include "chestnuthead/configuration.h"

/// Slow start: the concurrency limit of the endpoint starts at what a cold endpoint
/// supports and grows with each answer that is completed without delay.
namespace chestnuthead {

/// A first byte this many times later than the baseline counts as slow.
inline constexpr double slow_factor = 4.0;
/// Slow answers among the last `slow_window` at which the endpoint counts as cold.
inline constexpr int slow_answers_when_cold = 4;
inline constexpr int slow_window = 8;
/// Tokens added to a prompt's length to account for the fixed part of the time to
/// the first byte.
inline constexpr double fixed_prompt_tokens = 256.0;
/// Fraction of the difference by which the baseline falls towards a faster answer.
inline constexpr double baseline_fall = 0.2;
/// Maximum fraction by which one slower answer raises the baseline.
inline constexpr double baseline_rise = 0.05;

/// Warm-up state of the endpoint.
struct warm_up {
  /// Current limit of requests at the endpoint; zero before the first use.
  std::uint32_t limit = 0;
  /// Typical time to the first byte in seconds per prompt token that was not
  /// cached; zero before the first answer.
  double baseline = 0.0;
  /// One bit for each of the last answers, set for slow ones.
  std::uint32_t slow_bits = 0;
  std::uint64_t times_turned_cold = 0;
};

/// Clamps the limit to the pool's cold and warm limits; also sets the first limit.
void clamp_limit(warm_up& warm, const pool_configuration& pool);

/// Returns to the cold limit after a restart of the endpoint, whose caches are
/// empty.
void restart_cold(warm_up& warm, const pool_configuration& pool);

/// Effect of an answer on the limit.
enum class warmth_change : std::uint8_t { none, grown, turned_cold };

/// Records a completed answer and adjusts the limit. `first_byte` is the time from
/// sending the request to the endpoint until the first byte.
warmth_change note_completed(warm_up& warm, const pool_configuration& pool,
                             std::chrono::nanoseconds first_byte, std::uint32_t prompt_tokens,
                             std::uint32_t cached_tokens);

}  // namespace chestnuthead
