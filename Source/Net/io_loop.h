#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "chestnuthead/clock.h"

namespace chestnuthead {

/// A file descriptor and its callbacks, served by an `io_loop`. All methods are
/// called on the loop's thread.
class io_handler {
 public:
  virtual ~io_handler() = default;

  [[nodiscard]] virtual int descriptor() const = 0;
  [[nodiscard]] virtual bool wants_read() const = 0;
  [[nodiscard]] virtual bool wants_write() const = 0;
  /// Called when the descriptor is ready. False removes the handler.
  virtual bool ready(bool readable, bool writable, steady_time now) = 0;
  /// Called about every `io_tick_interval`. False removes the handler.
  virtual bool tick(steady_time now) = 0;
  /// Called when the handler was removed.
  virtual void removed() = 0;
};

inline constexpr std::chrono::milliseconds io_tick_interval{100};

/// An event loop on its own thread. Polls descriptors with poll() and runs
/// tasks that other threads post.
class io_loop {
 public:
  io_loop();
  ~io_loop();
  io_loop(const io_loop&) = delete;
  io_loop& operator=(const io_loop&) = delete;

  void start();
  /// Joins the thread and removes all handlers. No task runs afterwards.
  void stop();

  /// Queues `task` to run on the loop's thread. Thread-safe.
  void post(std::function<void()> task);

  /// Adds a handler. Only from the loop's thread, or before `start`.
  void add(const std::shared_ptr<io_handler>& handler);

 private:
  void run();
  void run_tasks();
  void poll_once();
  void tick_all(steady_time now);
  void remove_handler_if(bool drop, const std::shared_ptr<io_handler>& handler);
  void drain_wake() const;

  std::atomic<bool> stopping{false};
  std::mutex lock;
  std::vector<std::function<void()>> tasks;
  std::vector<std::shared_ptr<io_handler>> handlers;
  steady_time next_tick{};
  int wake_descriptor = -1;
  std::thread thread;
};

}  // namespace chestnuthead
