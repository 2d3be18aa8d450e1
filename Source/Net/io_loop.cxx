#include "Net/io_loop.h"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <system_error>
#include <utility>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace chestnuthead {

namespace {

short events_of(const io_handler& handler) {
  int events = 0;
  if (handler.wants_read()) {
    events |= POLLIN;
  }
  if (handler.wants_write()) {
    events |= POLLOUT;
  }
  return static_cast<short>(events);
}

}  // namespace

io_loop::io_loop() : wake_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (this->wake_descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
}

io_loop::~io_loop() {
  this->stop();
  close(this->wake_descriptor);
}

void io_loop::start() {
  this->thread = std::thread([this] { this->run(); });
}

void io_loop::stop() {
  if (!this->thread.joinable()) {
    return;
  }
  this->stopping = true;
  this->post([] {});
  this->thread.join();
  for (const auto& handler : std::exchange(this->handlers, {})) {
    handler->removed();
  }
  const std::lock_guard guard(this->lock);
  this->tasks.clear();
}

void io_loop::post(std::function<void()> task) {
  bool was_empty = false;
  {
    const std::lock_guard guard(this->lock);
    was_empty = this->tasks.empty();
    this->tasks.push_back(std::move(task));
  }
  if (was_empty) {
    const std::uint64_t one = 1;
    // A write that fails because the eventfd counter is full is harmless: the
    // loop wakes anyway.
    [[maybe_unused]] const ssize_t written = write(this->wake_descriptor, &one, sizeof(one));
  }
}

void io_loop::add(const std::shared_ptr<io_handler>& handler) {
  this->handlers.push_back(handler);
}

void io_loop::run() {
  while (!this->stopping) {
    this->run_tasks();
    this->poll_once();
  }
}

void io_loop::run_tasks() {
  std::vector<std::function<void()>> now;
  {
    const std::lock_guard guard(this->lock);
    now.swap(this->tasks);
  }
  for (const auto& task : now) {
    task();
  }
}

void io_loop::poll_once() {
  // Iterates over a copy, because callbacks may add or remove handlers.
  const std::vector<std::shared_ptr<io_handler>> served = this->handlers;
  std::vector<pollfd> entries;
  entries.reserve(served.size() + 1);
  for (const auto& handler : served) {
    entries.push_back({handler->descriptor(), events_of(*handler), 0});
  }
  entries.push_back({this->wake_descriptor, POLLIN, 0});
  const int count =
      poll(entries.data(), entries.size(), static_cast<int>(io_tick_interval.count()));
  const steady_time now = std::chrono::steady_clock::now();
  if (count > 0) {
    this->drain_wake();
    for (std::size_t index = 0; index < served.size(); ++index) {
      const short events = entries[index].revents;
      if (events == 0) {
        continue;
      }
      const bool broken = (events & (POLLERR | POLLHUP | POLLNVAL)) != 0;
      const bool readable = (events & POLLIN) != 0 || broken;
      const bool writable = (events & POLLOUT) != 0 || broken;
      this->remove_handler_if(!served[index]->ready(readable, writable, now), served[index]);
    }
  }
  if (now >= this->next_tick) {
    this->next_tick = now + io_tick_interval;
    this->tick_all(now);
  }
}

void io_loop::tick_all(steady_time now) {
  const std::vector<std::shared_ptr<io_handler>> served = this->handlers;
  for (const auto& handler : served) {
    this->remove_handler_if(!handler->tick(now), handler);
  }
}

void io_loop::remove_handler_if(bool drop, const std::shared_ptr<io_handler>& handler) {
  if (!drop) {
    return;
  }
  const auto place = std::find(this->handlers.begin(), this->handlers.end(), handler);
  if (place != this->handlers.end()) {
    this->handlers.erase(place);
    handler->removed();
  }
}

void io_loop::drain_wake() const {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t got = read(this->wake_descriptor, &count, sizeof(count));
}

}  // namespace chestnuthead
