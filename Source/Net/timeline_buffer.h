#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

#include "chestnuthead/timeline.h"

#include "Net/hybrid_clock.h"

namespace chestnuthead {

/// The newest events of one process. May be used from any thread.
class timeline_buffer {
 public:
  /// `hybrid` must outlive the buffer.
  timeline_buffer(hybrid_clock& hybrid, node_id node, std::size_t capacity = 4'096);

  /// Stamps an event and keeps it in place of the oldest.
  void add(timeline_event event);

  /// All events as a JSON array, oldest first; identifiers that do not apply
  /// are left out.
  [[nodiscard]] std::string format() const;

 private:
  hybrid_clock& hybrid;
  node_id node;
  std::size_t capacity;
  mutable std::mutex lock;
  std::deque<timeline_event> events;
};

}  // namespace chestnuthead
