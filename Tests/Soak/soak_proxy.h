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

/// A loopback port that the system gives to nobody else while this object lives. A process can
/// listen on it if it sets SO_REUSEADDR, as gateways do.
class port_reservation {
 public:
  port_reservation();
  ~port_reservation();
  port_reservation(const port_reservation&) = delete;
  port_reservation& operator=(const port_reservation&) = delete;

 private:
  int descriptor;

 public:
  const std::string address;
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
  /// Without listening, the system refuses connections, as it does for a process that has ended.
  void listen();
  void stop_listening();
  void on_ready(bool readable, bool writable) override;

  const port_reservation port;
  /// Address that the proxy listens on.
  const std::string& address = port.address;
  link_fault fault;
  /// The target is down: new connections are closed at once, whatever `fault` says.
  bool down = false;

 private:
  class proxied_connection;

  traffic::event_loop& loop;
  task_queue& tasks;
  std::string target;
  /// -1 while the proxy does not listen.
  int descriptor = -1;
  std::vector<std::shared_ptr<proxied_connection>> connections;
};

}  // namespace chestnuthead::soak
