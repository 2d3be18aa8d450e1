#include "Measure/event_queue.h"

#include <utility>

namespace chestnuthead {

steady_time event_queue::now() const {
  return this->time;
}

void event_queue::after(std::chrono::microseconds delay, std::function<void()> action) {
  this->actions[{this->time + delay, ++this->added}] = std::move(action);
}

void event_queue::run_until(steady_time end) {
  while (!this->actions.empty() && this->actions.begin()->first.when <= end) {
    const auto next = this->actions.extract(this->actions.begin());
    this->time = next.key().when;
    next.mapped()();
  }
  this->time = end;
}

}  // namespace chestnuthead
