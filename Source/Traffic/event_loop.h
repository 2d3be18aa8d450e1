#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "chestnuthead/clock.h"

/// A single-threaded event loop for sockets. All calls must come from the thread that runs
/// the loop.
namespace chestnuthead::traffic {

/// Handles the readiness of one file descriptor.
class io_watcher {
 public:
  virtual ~io_watcher() = default;

  /// The descriptor is ready. A failed descriptor is reported as readable and writable, so
  /// that the next read returns the error.
  virtual void on_ready(bool readable, bool writable) = 0;
};

/// An object whose destruction can be deferred until the present events are handled.
class disposable {
 public:
  virtual ~disposable() = default;
};

/// The kinds of readiness that a watcher waits for.
struct io_interest {
  bool read = true;
  bool write = false;
};

class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Starts to watch a descriptor; `watcher` must outlive the matching `unwatch`.
  void watch(int descriptor, io_watcher& watcher, io_interest interest);
  void change(int descriptor, io_interest interest);
  /// Stops watching the descriptor. Its events that were fetched but not yet handled are
  /// dropped.
  void unwatch(int descriptor);

  /// Destroys `object` once the present round of events is handled.
  void dispose(std::unique_ptr<disposable> object);

  /// Waits for events for at most `longest` and handles them. True if more events may be
  /// pending than one round fetches.
  bool run_once(std::chrono::milliseconds longest);

  /// Number of events handled so far.
  [[nodiscard]] std::uint64_t events_handled() const {
    return this->handled;
  }

 private:
  struct watch_entry {
    io_watcher* watcher = nullptr;
    /// Distinguishes successive watches of the same descriptor number.
    std::uint32_t generation = 0;
  };

  void control(int operation, int descriptor, io_interest interest) const;

  int poll_descriptor = -1;
  std::uint64_t handled = 0;
  std::vector<watch_entry> watches;
  std::vector<std::unique_ptr<disposable>> disposed;
};

}  // namespace chestnuthead::traffic
