#include "Net/hybrid_clock.h"

#include <chrono>

namespace chestnuthead {

namespace {

/// Received timestamps further ahead of the local wall clock than this are
/// ignored: the sender's clock is assumed to be wrong.
constexpr std::chrono::minutes clock_skew_limit{5};

std::chrono::milliseconds wall_of(const clock& source) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      source.wall_now().time_since_epoch());
}

}  // namespace

hybrid_clock::hybrid_clock(const clock& clock_source) : source(clock_source) {}

hybrid_time hybrid_clock::tick() {
  const std::lock_guard guard(this->lock);
  const std::chrono::milliseconds wall = wall_of(this->source);
  if (wall > this->last.wall) {
    this->last = {wall, 0};
  } else {
    ++this->last.counter;
  }
  return this->last;
}

void hybrid_clock::merge(const hybrid_time& received) {
  const std::lock_guard guard(this->lock);
  if (received.wall > wall_of(this->source) + clock_skew_limit) {
    return;
  }
  if (received > this->last) {
    this->last = received;
  }
}

}  // namespace chestnuthead
