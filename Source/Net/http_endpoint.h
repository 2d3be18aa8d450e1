#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "chestnuthead/configuration.h"
#include "chestnuthead/endpoint_port.h"

#include "Net/http_call.h"
#include "Net/worker_pool.h"

namespace chestnuthead {

/// Where the endpoint is and how it is called.
struct http_endpoint_settings {
  /// IP number and port.
  std::string address;
  pool_kind kind = pool_kind::model_engine;
  /// Calls that run at once.
  std::size_t threads = 64;
  std::chrono::milliseconds connect_timeout{1'000};
  /// Longest silence within a call.
  std::chrono::milliseconds read_timeout{600'000};
  /// Longest wait for health and load.
  std::chrono::milliseconds health_timeout{500};
};

/// The endpoint port over HTTP/1.1, as docs/platform.md describes it.
class http_endpoint : public endpoint_port {
 public:
  explicit http_endpoint(const http_endpoint_settings& settings);
  ~http_endpoint() override;
  http_endpoint(const http_endpoint&) = delete;
  http_endpoint& operator=(const http_endpoint&) = delete;

  void run(endpoint_call call, std::shared_ptr<endpoint_listener> listener) override;
  void cancel(const attempt_id& attempt) override;
  void read_health(std::function<void(endpoint_health)> done) override;
  void read_load(std::function<void(std::optional<endpoint_load_answer>)> done) override;

  /// Breaks off the calls that may be run again elsewhere.
  void cancel_idempotent();

  /// Breaks off all calls and ends the threads.
  void stop();

 private:
  struct running_call {
    std::shared_ptr<http_canceller> canceller;
    execution_rule rule = execution_rule::at_most_once;
  };

  void run_call(const endpoint_call& call, endpoint_listener& listener, http_canceller& canceller);
  /// As the last good health answer named it.
  std::string known_instance();
  [[nodiscard]] endpoint_health ask_health() const;
  [[nodiscard]] std::optional<endpoint_load_answer> ask_load() const;
  [[nodiscard]] http_request get_request(const std::string& path) const;

  http_endpoint_settings settings;
  std::mutex lock;
  std::map<attempt_id, running_call> running;
  std::string instance;
  worker_pool calls;
  worker_pool questions;
};

}  // namespace chestnuthead
