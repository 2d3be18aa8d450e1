#include "Agent/warm_up.h"

#include <algorithm>
#include <bit>

namespace chestnuthead {

namespace {

constexpr std::uint32_t window_mask = (1U << slow_window) - 1U;

// Seconds per token that had to be computed, so that a long prompt does not look
// like a slow endpoint.
double normalised(std::chrono::nanoseconds first_byte, std::uint32_t prompt_tokens,
                  std::uint32_t cached_tokens) {
  const double computed = prompt_tokens - std::min(prompt_tokens, cached_tokens);
  return std::chrono::duration<double>(first_byte).count() / (computed + fixed_prompt_tokens);
}

// Falls quickly and rises slowly, so that one slow answer has little effect but the
// baseline still adapts to a lasting change.
void move_baseline(warm_up& warm, double sample) {
  if (warm.baseline <= 0.0) {
    warm.baseline = sample;
  } else if (sample < warm.baseline) {
    warm.baseline += baseline_fall * (sample - warm.baseline);
  } else {
    warm.baseline = std::min(sample, warm.baseline * (1.0 + baseline_rise));
  }
}

void become_cold(warm_up& warm, const pool_configuration& pool) {
  warm.limit = std::min(pool.cold_limit, pool.warm_limit);
  warm.slow_bits = 0;
  ++warm.times_turned_cold;
}

}  // namespace

void clamp_limit(warm_up& warm, const pool_configuration& pool) {
  const std::uint32_t lowest = std::min(pool.cold_limit, pool.warm_limit);
  warm.limit = std::clamp(warm.limit, lowest, pool.warm_limit);
}

void restart_cold(warm_up& warm, const pool_configuration& pool) {
  become_cold(warm, pool);
}

warmth_change note_completed(warm_up& warm, const pool_configuration& pool,
                             std::chrono::nanoseconds first_byte, std::uint32_t prompt_tokens,
                             std::uint32_t cached_tokens) {
  const double sample = normalised(first_byte, prompt_tokens, cached_tokens);
  const bool slow = warm.baseline > 0.0 && sample > slow_factor * warm.baseline;
  move_baseline(warm, sample);
  warm.slow_bits = ((warm.slow_bits << 1U) | (slow ? 1U : 0U)) & window_mask;
  if (std::popcount(warm.slow_bits) >= slow_answers_when_cold) {
    const bool was_warmer = warm.limit > pool.cold_limit;
    become_cold(warm, pool);
    return was_warmer ? warmth_change::turned_cold : warmth_change::none;
  }
  if (slow || warm.limit >= pool.warm_limit) {
    return warmth_change::none;
  }
  ++warm.limit;
  return warmth_change::grown;
}

}  // namespace chestnuthead
