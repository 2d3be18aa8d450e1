#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>
#include <utility>

#include "chestnuthead/clock.h"

#include "Net/mailbox.h"

namespace chestnuthead {

/// The one thread that owns a core's state: it takes in events from all other
/// threads, one after the other, and a tick at least every interval.
template <class Event>
class control_loop {
 public:
  using handler = std::function<void(const Event&, steady_time)>;

  /// `source` must outlive the loop. `take` is called on the loop's thread with
  /// each event; `tick` is the event that says that time has passed.
  control_loop(const clock& loop_source, Event loop_tick, std::chrono::milliseconds loop_interval,
               handler loop_take)
      : source(loop_source),
        tick(std::move(loop_tick)),
        interval(loop_interval),
        take(std::move(loop_take)) {}
  ~control_loop() {
    this->stop();
  }
  control_loop(const control_loop&) = delete;
  control_loop& operator=(const control_loop&) = delete;

  void start() {
    this->thread = std::thread([this] { this->run(); });
  }

  void post(Event event) {
    this->events.push(std::move(event));
  }

  /// Ends the thread; events that are left are dropped.
  void stop() {
    this->stopping = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

 private:
  void run() {
    steady_time next_tick = this->source.now();
    while (!this->stopping) {
      if (const auto event = this->events.pop_until(next_tick)) {
        this->take(*event, this->source.now());
      }
      const steady_time now = this->source.now();
      if (now >= next_tick) {
        this->take(this->tick, now);
        next_tick = now + this->interval;
      }
    }
  }

  const clock& source;
  Event tick;
  std::chrono::milliseconds interval;
  handler take;
  mailbox<Event> events;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace chestnuthead
