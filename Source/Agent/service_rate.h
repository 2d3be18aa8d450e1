#pragma once

#include <chrono>
#include <cstdint>

/// How long the endpoint takes for a request, learnt from those completed, and
/// what follows for those that wait.
namespace chestnuthead {

/// Weight of the newest duration in the running mean.
inline constexpr double newest_duration_weight = 0.1;
inline constexpr std::chrono::milliseconds come_back_at_least{50};
inline constexpr std::chrono::milliseconds come_back_at_most{30'000};
/// Told while nothing has been completed yet.
inline constexpr std::chrono::milliseconds come_back_unknown{1'000};

struct service_rate {
  /// Running mean of the time at the endpoint; zero before the first.
  std::chrono::duration<double> mean{0};
};

void note_duration(service_rate& rate, std::chrono::nanoseconds took);

/// Expected wait of a request with `ahead` others before it, when `busy` of
/// `slots` are in use; zero if nothing is known.
std::chrono::milliseconds expected_wait(const service_rate& rate, std::uint32_t ahead,
                                        std::uint32_t busy, std::uint32_t slots);

/// When one of `busy` slots is expected to be free.
std::chrono::milliseconds time_to_next_end(const service_rate& rate, std::uint32_t busy);

}  // namespace chestnuthead
