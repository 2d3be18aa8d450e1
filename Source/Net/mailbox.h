#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "chestnuthead/clock.h"

namespace chestnuthead {

/// An unbounded thread-safe queue with many producers and one consumer.
template <class Message>
class mailbox {
 public:
  void push(Message message) {
    const std::lock_guard guard(this->lock);
    this->messages.push_back(std::move(message));
    this->changed.notify_one();
  }

  /// Waits for the next message; nullopt if none arrives before `until`.
  std::optional<Message> pop_until(steady_time until) {
    std::unique_lock guard(this->lock);
    this->changed.wait_until(guard, until, [this] { return !this->messages.empty(); });
    if (this->messages.empty()) {
      return std::nullopt;
    }
    std::optional<Message> message = std::move(this->messages.front());
    this->messages.pop_front();
    return message;
  }

 private:
  std::mutex lock;
  std::condition_variable changed;
  std::deque<Message> messages;
};

}  // namespace chestnuthead
