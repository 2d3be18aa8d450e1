#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <utility>

#include "chestnuthead/clock.h"

namespace chestnuthead::soak {

/// Delayed tasks, run on the single thread of the soak.
class task_queue {
 public:
  explicit task_queue(const clock& source) : time(source) {}

  void after(std::chrono::milliseconds delay, std::function<void()> task) {
    this->tasks.emplace(this->time.now() + delay, std::move(task));
  }

  /// Runs all tasks that are due.
  void run_due() {
    while (!this->tasks.empty() && this->tasks.begin()->first <= this->time.now()) {
      const std::function<void()> task = std::move(this->tasks.begin()->second);
      this->tasks.erase(this->tasks.begin());
      task();
    }
  }

 private:
  const clock& time;
  std::multimap<steady_time, std::function<void()>> tasks;
};

}  // namespace chestnuthead::soak
