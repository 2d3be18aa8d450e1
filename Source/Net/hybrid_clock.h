#pragma once

#include <mutex>

#include "chestnuthead/clock.h"
#include "chestnuthead/timeline.h"

namespace chestnuthead {

/// Hybrid logical clock of one process. Timestamps increase strictly, and each
/// new timestamp is after all those that were merged from received messages.
class hybrid_clock {
 public:
  /// `source` must outlive this clock.
  explicit hybrid_clock(const clock& source);

  /// Returns a new timestamp for a local event.
  hybrid_time tick();
  /// Advances the clock past a timestamp received with a message. Ignores one
  /// that is too far ahead of the wall clock.
  void merge(const hybrid_time& received);

 private:
  const clock& source;
  std::mutex lock;
  hybrid_time last;
};

}  // namespace chestnuthead
