#pragma once

#include <map>
#include <memory>

#include "chestnuthead/clock.h"

#include "Traffic/caller_link.h"
#include "Traffic/event_loop.h"
#include "Traffic/health_checks.h"
#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

/// Accepts callers' connections and serves them until a graceful shutdown has finished.
class gateway_server : public io_watcher, public caller_links {
 public:
  /// Takes ownership of a listening socket.
  gateway_server(traffic_context& context, int listening_descriptor);
  ~gateway_server() override;
  gateway_server(const gateway_server&) = delete;
  gateway_server& operator=(const gateway_server&) = delete;

  /// Checks all timeouts and starts due health checks. Call it every few tens of milliseconds.
  void tick(steady_time now);

  /// Starts a graceful shutdown that ends within `grace`.
  void begin_stop(std::chrono::milliseconds grace, steady_time now);
  /// True once the graceful shutdown has finished.
  [[nodiscard]] bool stopped(steady_time now) const;

  void on_ready(bool readable, bool writable) override;
  void remove(caller_link& link) override;

 private:
  void stop_listening();

  traffic_context& context;
  int descriptor;
  health_checks checks;
  std::map<caller_link*, std::unique_ptr<caller_link>> links;
  steady_time next_drop_at{};
  bool stopping = false;
  steady_time close_idle_at{};
  /// From when on requests without an answer are ended with an error.
  steady_time end_requests_at{};
  bool requests_ended = false;
  steady_time stop_at{};
};

}  // namespace chestnuthead::traffic
