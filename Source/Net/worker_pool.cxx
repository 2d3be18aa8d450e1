#include "Net/worker_pool.h"

#include <utility>

namespace chestnuthead {

worker_pool::worker_pool(std::size_t thread_count, std::size_t pool_queue_limit)
    : queue_limit(pool_queue_limit) {
  this->threads.reserve(thread_count);
  for (std::size_t index = 0; index < thread_count; ++index) {
    this->threads.emplace_back([this] { this->run(); });
  }
}

worker_pool::~worker_pool() {
  this->stop();
}

bool worker_pool::submit(std::function<void()> task) {
  const std::lock_guard guard(this->lock);
  if (this->stopping || this->queue.size() >= this->queue_limit) {
    return false;
  }
  this->queue.push_back(std::move(task));
  this->changed.notify_one();
  return true;
}

void worker_pool::stop() {
  {
    const std::lock_guard guard(this->lock);
    this->stopping = true;
    this->queue.clear();
    this->changed.notify_all();
  }
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
}

void worker_pool::run() {
  while (true) {
    std::function<void()> task;
    {
      std::unique_lock guard(this->lock);
      this->changed.wait(guard, [this] { return this->stopping || !this->queue.empty(); });
      if (this->stopping) {
        return;
      }
      task = std::move(this->queue.front());
      this->queue.pop_front();
    }
    task();
  }
}

}  // namespace chestnuthead
