#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "chestnuthead/ids.h"
#include "chestnuthead/router_core.h"

#include "Daemons/exchange.h"
#include "Daemons/status_server.h"

namespace Poco {
class ThreadPool;
// NOLINTNEXTLINE(readability-identifier-naming): Poco's own name.
namespace Net {
class HTTPServer;
}
}  // namespace Poco

namespace chestnuthead {

/// How a caller's request ended, for metrics and logs.
struct exchange_result {
  /// "complete", "cut", "caller_gone" or the name of an error kind.
  std::string end;
  std::chrono::nanoseconds took{0};
  /// Time to the first byte of the answer.
  std::optional<std::chrono::nanoseconds> first_byte;
};

/// The interface of the router to its public server. Called from traffic threads.
class caller_service {
 public:
  virtual ~caller_service() = default;

  /// Returns a name that is unique in the fleet.
  virtual std::string make_unique_name() = 0;
  /// Registers a request; false if one with the same id is in progress.
  virtual bool begin_exchange(const std::shared_ptr<exchange>& entry) = 0;
  virtual void post_event(router_event event) = 0;
  virtual void answer_consumed(const attempt_id& attempt, std::size_t bytes) = 0;
  /// Cancels an attempt whose answer is not usable.
  virtual void abandon_attempt(const attempt_id& attempt) = 0;
  virtual void finish_exchange(const exchange& entry, const exchange_result& result) = 0;
  virtual status_response answer_status(const std::string& path) = 0;
};

/// HTTP server for callers; serves each connection on a thread of a bounded pool.
class public_server {
 public:
  /// `service` must outlive the server.
  public_server(caller_service& service, std::uint32_t threads);
  ~public_server();
  public_server(const public_server&) = delete;
  public_server& operator=(const public_server&) = delete;

  /// Port 0 selects a free port. False if the port can't be bound.
  bool start(const std::string& host, std::uint16_t port);
  void stop();

  /// IP address and port, once started.
  [[nodiscard]] std::string address() const;

 private:
  [[nodiscard]] bool busy() const;

  caller_service& service;
  std::uint32_t threads;
  std::unique_ptr<Poco::ThreadPool> pool;
  std::unique_ptr<Poco::Net::HTTPServer> server;
  std::string bound;
};

}  // namespace chestnuthead
