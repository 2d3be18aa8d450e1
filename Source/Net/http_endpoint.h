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

/// Address, kind, concurrency and timeouts of an endpoint.
struct http_endpoint_settings {
  /// Numeric IP address and port.
  std::string address;
  pool_kind kind = pool_kind::model_engine;
  /// Maximum number of concurrent calls.
  std::size_t threads = 64;
  std::chrono::milliseconds connect_timeout{1'000};
  /// Longest time without a byte from the endpoint during a call.
  std::chrono::milliseconds read_timeout{600'000};
  /// Connect and read timeout of the health and load requests.
  std::chrono::milliseconds health_timeout{500};
};

/// Implements `endpoint_port` over HTTP/1.1, as docs/platform.md describes it.
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

  /// Cancels the idempotent calls, which may be run again on another endpoint.
  void cancel_idempotent();

  /// Cancels all calls and joins the threads.
  void stop();

 private:
  struct running_call {
    std::shared_ptr<http_canceller> canceller;
    execution_rule rule = execution_rule::at_most_once;
  };

  void run_call(const endpoint_call& call, endpoint_listener& listener, http_canceller& canceller);
  /// The engine's instance as reported by the last successful health check.
  std::string known_instance();
  [[nodiscard]] endpoint_health fetch_health() const;
  [[nodiscard]] std::optional<endpoint_load_answer> fetch_load() const;
  [[nodiscard]] http_request get_request(const std::string& path) const;

  http_endpoint_settings settings;
  std::mutex lock;
  std::map<attempt_id, running_call> running;
  std::string instance;
  worker_pool calls;
  worker_pool monitoring_calls;
};

}  // namespace chestnuthead
