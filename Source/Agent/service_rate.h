#pragma once

#include <chrono>
#include <cstdint>

/// Running mean of the endpoint's service time and the waiting times estimated from
/// it.
namespace chestnuthead {

/// Weight of the newest duration in the exponentially weighted mean.
inline constexpr double newest_duration_weight = 0.1;
inline constexpr std::chrono::milliseconds come_back_at_least{50};
inline constexpr std::chrono::milliseconds come_back_at_most{30'000};
/// Sent to routers until a first request has been completed.
inline constexpr std::chrono::milliseconds come_back_unknown{1'000};

struct service_rate {
  /// Mean service time at the endpoint; zero before the first completed request.
  std::chrono::duration<double> mean{0};
};

void note_duration(service_rate& rate, std::chrono::nanoseconds took);

/// Expected wait of a request with `ahead` others before it, when `busy` of `slots`
/// are in use; zero if no service time is known.
std::chrono::milliseconds expected_wait(const service_rate& rate, std::uint32_t ahead,
                                        std::uint32_t busy, std::uint32_t slots);

/// Expected time until one of `busy` slots becomes free.
std::chrono::milliseconds expected_time_to_free_slot(const service_rate& rate, std::uint32_t busy);

}  // namespace chestnuthead
