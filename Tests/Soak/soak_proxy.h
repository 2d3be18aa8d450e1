#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Traffic/event_loop.h"
#include "Traffic/tcp_link.h"
#include "soak_tasks.h"

namespace chestnuthead::soak {

/// Faults that a proxy injects into its connections.
struct link_fault {
  std::chrono::milliseconds delay{0};
  /// Bytes from or to the caller are dropped while the connection stays open.
  bool drop_from_caller = false;
  bool drop_to_caller = false;
  /// New connections are closed at once.
  bool refuse_connections = false;
};

/// A loopback TCP proxy to one target address that injects faults.
class fault_proxy : public traffic::io_watcher {
 public:
  fault_proxy(traffic::event_loop& loop, task_queue& tasks, std::string target);
  ~fault_proxy() override;
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  /// Resets all open connections.
  void reset_all();
  void on_ready(bool readable, bool writable) override;

  /// Address that the proxy listens on.
  std::string address;
  link_fault fault;
  /// The target is down: new connections are closed at once, whatever `fault` says.
  bool down = false;

 private:
  class proxied_connection;

  traffic::event_loop& loop;
  task_queue& tasks;
  std::string target;
  int descriptor;
  std::vector<std::shared_ptr<proxied_connection>> connections;
};

}  // namespace chestnuthead::soak
