#include "Traffic/event_loop.h"

#include <array>
#include <cerrno>
#include <cstddef>
#include <system_error>
#include <utility>

#include <sys/epoll.h>
#include <unistd.h>

namespace chestnuthead::traffic {

namespace {

/// Most events fetched by one system call.
constexpr std::size_t events_per_round = 128;
constexpr unsigned generation_shift = 32;

std::uint64_t pack(std::uint32_t generation, int descriptor) {
  return (static_cast<std::uint64_t>(generation) << generation_shift) |
         static_cast<std::uint32_t>(descriptor);
}

std::uint32_t events_for(io_interest interest) {
  std::uint32_t events = 0;
  if (interest.read) {
    events |= EPOLLIN;
  }
  if (interest.write) {
    events |= EPOLLOUT;
  }
  return events;
}

}  // namespace

event_loop::event_loop() : poll_descriptor(epoll_create1(EPOLL_CLOEXEC)) {
  if (this->poll_descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  }
}

event_loop::~event_loop() {
  this->disposed.clear();
  ::close(this->poll_descriptor);
}

void event_loop::control(int operation, int descriptor, io_interest interest) const {
  epoll_event event{};
  event.events = events_for(interest);
  event.data.u64 = pack(this->watches[static_cast<std::size_t>(descriptor)].generation, descriptor);
  if (epoll_ctl(this->poll_descriptor, operation, descriptor, &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
}

void event_loop::watch(int descriptor, io_watcher& watcher, io_interest interest) {
  const auto place = static_cast<std::size_t>(descriptor);
  if (place >= this->watches.size()) {
    this->watches.resize(place + 1);
  }
  this->watches[place].watcher = &watcher;
  ++this->watches[place].generation;
  this->control(EPOLL_CTL_ADD, descriptor, interest);
}

void event_loop::change(int descriptor, io_interest interest) {
  this->control(EPOLL_CTL_MOD, descriptor, interest);
}

void event_loop::unwatch(int descriptor) {
  watch_entry& entry = this->watches[static_cast<std::size_t>(descriptor)];
  entry.watcher = nullptr;
  ++entry.generation;
  epoll_ctl(this->poll_descriptor, EPOLL_CTL_DEL, descriptor, nullptr);
}

void event_loop::dispose(std::unique_ptr<disposable> object) {
  this->disposed.push_back(std::move(object));
}

bool event_loop::run_once(std::chrono::milliseconds longest) {
  std::array<epoll_event, events_per_round> events{};
  const int count = epoll_wait(this->poll_descriptor, events.data(),
                               static_cast<int>(events.size()), static_cast<int>(longest.count()));
  for (int at = 0; at < count; ++at) {
    const epoll_event& event = events[static_cast<std::size_t>(at)];
    const auto descriptor = static_cast<std::uint32_t>(event.data.u64);
    const auto generation = static_cast<std::uint32_t>(event.data.u64 >> generation_shift);
    const watch_entry entry = this->watches[descriptor];
    if (entry.watcher != nullptr && entry.generation == generation) {
      ++this->handled;
      const bool failed = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
      entry.watcher->on_ready(failed || (event.events & EPOLLIN) != 0,
                              failed || (event.events & EPOLLOUT) != 0);
    }
  }
  const std::vector<std::unique_ptr<disposable>> done = std::exchange(this->disposed, {});
  return count == static_cast<int>(events.size());
}

}  // namespace chestnuthead::traffic
