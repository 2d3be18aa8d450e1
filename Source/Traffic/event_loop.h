#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "chestnuthead/clock.h"

/// One thread's event loop for sockets. Nothing here may be used from another
/// thread.
namespace chestnuthead::traffic {

/// Reacts to the readiness of one file descriptor.
class io_watcher {
 public:
  virtual ~io_watcher() = default;

  /// The descriptor is ready. A failed descriptor is reported as readable, so
  /// that the next read tells the error.
  virtual void on_ready(bool readable, bool writable) = 0;
};

/// An object whose destruction waits until the present events are handled.
class disposable {
 public:
  virtual ~disposable() = default;
};

/// Which readiness a watcher waits for.
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

  /// Watches a descriptor; `watcher` must stay until `forget`.
  void watch(int descriptor, io_watcher& watcher, io_interest interest);
  void change(int descriptor, io_interest interest);
  /// Ends the watch. Events of the present round are dropped.
  void forget(int descriptor);

  /// Destroys `object` once the present round of events is handled.
  void dispose(std::unique_ptr<disposable> object);

  /// Waits for events at most for `longest` and handles them. True if more may
  /// have come than one round takes.
  bool run_once(std::chrono::milliseconds longest);

 private:
  struct watch_entry {
    io_watcher* watcher = nullptr;
    /// Tells apart watches of the same descriptor number.
    std::uint32_t generation = 0;
  };

  void control(int operation, int descriptor, io_interest interest) const;

  int poll_descriptor = -1;
  std::vector<watch_entry> watches;
  std::vector<std::unique_ptr<disposable>> disposed;
};

}  // namespace chestnuthead::traffic
