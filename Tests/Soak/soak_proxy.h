#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Traffic/event_loop.h"
#include "Traffic/tcp_link.h"
#include "soak_tasks.h"

namespace chestnuthead::soak {

/// What a proxy does to the bytes of its connections.
struct link_fault {
  std::chrono::milliseconds delay{0};
  /// Bytes from and to the caller vanish, without a reset.
  bool silent_up = false;
  bool silent_down = false;
  /// New connections are reset.
  bool refuse = false;
};

/// A loopback proxy for all connections to one address.
class fault_proxy : public traffic::io_watcher {
 public:
  fault_proxy(traffic::event_loop& loop, task_queue& tasks, std::string target);
  ~fault_proxy() override;
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  /// Resets all open connections.
  void reset_all();
  void on_ready(bool readable, bool writable) override;

  /// Where the proxy listens.
  std::string address;
  link_fault fault;

 private:
  class pair;

  traffic::event_loop& loop;
  task_queue& tasks;
  std::string target;
  int descriptor;
  std::vector<std::shared_ptr<pair>> pairs;
};

}  // namespace chestnuthead::soak
