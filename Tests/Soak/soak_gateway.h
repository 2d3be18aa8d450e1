#pragma once

#include <memory>
#include <string>

#include <sys/types.h>

#include "soak_proxy.h"

namespace chestnuthead::soak {

/// A gateway process that reaches the store through its own fault-injecting proxy.
class soak_gateway {
 public:
  /// `more_settings` are further members of the settings file, each after a comma.
  soak_gateway(std::string name, std::string program, std::string folder,
               std::unique_ptr<fault_proxy> store_proxy, const std::string& more_settings = {});
  /// Kills the process if it is still running.
  ~soak_gateway();
  soak_gateway(const soak_gateway&) = delete;
  soak_gateway& operator=(const soak_gateway&) = delete;

  void start();
  /// Sends a signal to the process if it is still running.
  void signal(int number) const;
  /// True if the process is running. Reaps it and sets `last_status` if it has ended.
  bool is_running();
  /// 0 if the process is not running.
  [[nodiscard]] pid_t process_id() const {
    return this->process;
  }

  const std::string name;
  const port_reservation public_port;
  const port_reservation ready_port;
  const port_reservation peer_port;
  const std::string& public_address = public_port.address;
  std::unique_ptr<fault_proxy> store_proxy;
  /// True from a SIGTERM until the next start.
  bool stopping = false;
  /// Wait status of the last process that ended; -1 if none has ended since the last start,
  /// -2 while a restart is scheduled.
  int last_status = -1;

 private:
  std::string program;
  std::string folder;
  std::string settings_file;
  pid_t process = 0;
};

}  // namespace chestnuthead::soak
