#include "Agent/service_rate.h"

#include <algorithm>

namespace chestnuthead {

namespace {

std::chrono::milliseconds in_milliseconds(std::chrono::duration<double> time) {
  return std::chrono::ceil<std::chrono::milliseconds>(time);
}

}  // namespace

void note_duration(service_rate& rate, std::chrono::nanoseconds took) {
  const std::chrono::duration<double> newest = took;
  if (rate.mean.count() <= 0.0) {
    rate.mean = newest;
    return;
  }
  rate.mean += newest_duration_weight * (newest - rate.mean);
}

std::chrono::milliseconds expected_wait(const service_rate& rate, std::uint32_t ahead,
                                        std::uint32_t busy, std::uint32_t slots) {
  const std::uint32_t free_slots = slots - std::min(busy, slots);
  if (ahead < free_slots) {
    return std::chrono::milliseconds{0};
  }
  const double ends_needed = static_cast<double>(ahead - free_slots) + 1.0;
  return in_milliseconds(rate.mean * (ends_needed / std::max<std::uint32_t>(slots, 1)));
}

std::chrono::milliseconds expected_time_to_free_slot(const service_rate& rate, std::uint32_t busy) {
  if (rate.mean.count() <= 0.0) {
    return come_back_unknown;
  }
  const auto wait = in_milliseconds(rate.mean / std::max<std::uint32_t>(busy, 1));
  return std::clamp(wait, come_back_at_least, come_back_at_most);
}

}  // namespace chestnuthead
