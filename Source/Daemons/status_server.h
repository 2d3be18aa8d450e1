#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

// NOLINTNEXTLINE(readability-identifier-naming): Poco's own name.
namespace Poco::Net {
class HTTPServer;
}

namespace chestnuthead {

/// The response to a status request.
struct status_response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// A request to the status server.
struct status_request {
  std::string method;
  /// Path without the query.
  std::string path;
};

using status_callback = std::function<status_response(const status_request& request)>;

/// HTTP server for operators and monitoring. Serves /health, /ready, /status,
/// /metrics, /timeline and /stop.
class status_server {
 public:
  explicit status_server(status_callback callback);
  ~status_server();
  status_server(const status_server&) = delete;
  status_server& operator=(const status_server&) = delete;

  /// Port 0 selects a free port. False if the port can't be bound.
  bool start(const std::string& host, std::uint16_t port);
  void stop();

  /// IP address and port, once started.
  [[nodiscard]] std::string address() const;

 private:
  status_callback callback;
  std::unique_ptr<Poco::Net::HTTPServer> server;
  std::string bound;
};

}  // namespace chestnuthead
