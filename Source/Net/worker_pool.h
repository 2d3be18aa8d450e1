#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace chestnuthead {

/// A pool of threads for blocking calls, with a bounded queue.
class worker_pool {
 public:
  worker_pool(std::size_t threads, std::size_t queue_limit);
  ~worker_pool();
  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;

  /// Queues a task. False if the queue is full or the pool has stopped; the
  /// task is then not run.
  bool submit(std::function<void()> task);

  /// Waits for the running tasks to finish and discards the queued ones.
  void stop();

 private:
  void run();

  std::size_t queue_limit;
  std::mutex lock;
  std::condition_variable changed;
  std::deque<std::function<void()>> queue;
  bool stopping = false;
  std::vector<std::thread> threads;
};

}  // namespace chestnuthead
