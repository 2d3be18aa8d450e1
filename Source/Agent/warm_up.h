#pragma once

#include <chrono>
#include <cstdint>

#include "chestnuthead/agent_core.h"
#include "chestnuthead/configuration.h"

/// The number of requests that the endpoint is given credit for: it starts at
/// what a cold one bears and grows with work that was completed well.
namespace chestnuthead {

/// A first byte this many times later than the baseline counts as slow.
inline constexpr double slow_factor = 4.0;
/// Slow answers among the last `slow_window` that mean a cold endpoint.
inline constexpr int slow_answers_of_cold = 4;
inline constexpr int slow_window = 8;
/// Tokens added to a prompt's length, for the fixed part of its first byte.
inline constexpr double fixed_prompt_tokens = 256.0;
/// Share by which the baseline falls towards a faster answer.
inline constexpr double baseline_fall = 0.2;
/// Highest share by which one slower answer lifts the baseline.
inline constexpr double baseline_rise = 0.05;

/// What is known of the endpoint's warmth.
struct warm_up {
  /// Requests the endpoint bears at present; zero before the first use.
  std::uint32_t limit = 0;
  /// Seconds to the first byte for each token of the prompt that was not
  /// cached; zero before the first answer.
  double baseline = 0.0;
  /// One bit for each of the last answers, set for slow ones.
  std::uint32_t slow_bits = 0;
  std::uint64_t times_turned_cold = 0;
};

/// Takes up the pool's limits: sets a first limit, and keeps it within them.
void fit_limit(warm_up& warm, const pool_configuration& pool);

/// The endpoint began anew: all it had is gone.
void restart_cold(warm_up& warm, const pool_configuration& pool);

/// How an answer reflects on the endpoint's warmth.
enum class warmth_change : std::uint8_t { none, grown, turned_cold };

/// One answer was completed. `first_byte` is the time from the hand-over to
/// the first byte.
warmth_change note_completed(warm_up& warm, const pool_configuration& pool,
                             std::chrono::nanoseconds first_byte, std::uint32_t prompt_tokens,
                             std::uint32_t cached_tokens);

}  // namespace chestnuthead
