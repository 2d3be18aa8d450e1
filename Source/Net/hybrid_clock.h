#pragma once

#include <mutex>

#include "chestnuthead/clock.h"
#include "chestnuthead/timeline.h"

namespace chestnuthead {

/// Hybrid logical clock of one process. Its readings only grow, and a reading
/// that came with a message is always before the next one made here.
class hybrid_clock {
 public:
  /// `source` must outlive this clock.
  explicit hybrid_clock(const clock& source);

  /// A new reading, for an event of this process.
  hybrid_time tick();
  /// Takes in a reading that came with a message.
  void merge(const hybrid_time& heard);

 private:
  const clock& source;
  std::mutex lock;
  hybrid_time last;
};

}  // namespace chestnuthead
