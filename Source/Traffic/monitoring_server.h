#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "Traffic/event_loop.h"
#include "Traffic/http_reader.h"
#include "Traffic/tcp_link.h"

/// A minimal HTTP server for readiness checks and metrics. Its handler runs on the event loop
/// and must not block.
namespace chestnuthead::traffic {

struct monitoring_response {
  int status = 200;
  std::string body;
  std::string content_type = "text/plain";
};

/// Returns the response to a request for `target`, which is the path and the query.
using monitoring_handler = std::function<monitoring_response(std::string_view target)>;

class monitoring_server : public io_watcher {
 public:
  /// Takes over a listening socket.
  monitoring_server(event_loop& loop, int listening_descriptor, monitoring_handler handler);
  ~monitoring_server() override;
  monitoring_server(const monitoring_server&) = delete;
  monitoring_server& operator=(const monitoring_server&) = delete;

  void on_ready(bool readable, bool writable) override;

 private:
  class connection;

  void remove(connection& ended);

  event_loop& loop;
  int descriptor;
  monitoring_handler handler;
  std::map<connection*, std::unique_ptr<connection>> connections;
};

}  // namespace chestnuthead::traffic
