#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "chestnuthead/clock.h"

namespace chestnuthead {

/// A queue from many threads to one.
template <class Message>
class mailbox {
 public:
  void push(Message message) {
    const std::lock_guard guard(this->lock);
    this->messages.push_back(std::move(message));
    this->changed.notify_one();
  }

  /// The next message, or nothing once `until` has come.
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
