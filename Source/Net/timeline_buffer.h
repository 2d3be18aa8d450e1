#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

#include "chestnuthead/timeline.h"

#include "Net/hybrid_clock.h"

namespace chestnuthead {

/// A bounded buffer of the newest timeline events of one process. Thread-safe.
class timeline_buffer {
 public:
  /// `hybrid` must outlive the buffer.
  timeline_buffer(hybrid_clock& hybrid, node_id node, std::size_t capacity = 4'096);

  /// Sets the event's timestamp and node and appends it; discards the oldest
  /// event if the buffer is full.
  void add(timeline_event event);

  /// Formats all events as a JSON array, oldest first. Identifiers that are not
  /// set are omitted.
  [[nodiscard]] std::string format() const;

 private:
  hybrid_clock& hybrid;
  node_id node;
  std::size_t capacity;
  mutable std::mutex lock;
  std::deque<timeline_event> events;
};

}  // namespace chestnuthead
