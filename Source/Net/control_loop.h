#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>
#include <utility>

#include "chestnuthead/clock.h"

#include "Net/mailbox.h"

namespace chestnuthead {

/// An event loop on its own thread, which is the only one to use the state of a
/// core. Handles events posted by other threads one at a time, and a tick event
/// at least once per interval.
template <class Event>
class control_loop {
 public:
  using handler = std::function<void(const Event&, steady_time)>;

  /// `loop_source` must outlive the loop. `loop_handle_event` is called on the loop's
  /// thread with each event; `loop_tick` is the event that is passed to it once
  /// per interval.
  control_loop(const clock& loop_source, Event loop_tick, std::chrono::milliseconds loop_interval,
               handler loop_handle_event)
      : source(loop_source),
        tick(std::move(loop_tick)),
        interval(loop_interval),
        handle_event(std::move(loop_handle_event)) {}
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

  /// Joins the thread. Events still queued are discarded.
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
        this->handle_event(*event, this->source.now());
      }
      const steady_time now = this->source.now();
      if (now >= next_tick) {
        this->handle_event(this->tick, now);
        next_tick = now + this->interval;
      }
    }
  }

  const clock& source;
  Event tick;
  std::chrono::milliseconds interval;
  handler handle_event;
  mailbox<Event> events;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace chestnuthead
