#pragma once

#include <memory>
#include <string>

#include <sys/types.h>

#include "soak_proxy.h"

namespace chestnuthead::soak {

/// One gateway as a process of its own, with its own way to the store.
class soak_gateway {
 public:
  soak_gateway(std::string name, std::string program, std::string folder,
               std::unique_ptr<fault_proxy> store);
  /// Kills the process if it still runs.
  ~soak_gateway();
  soak_gateway(const soak_gateway&) = delete;
  soak_gateway& operator=(const soak_gateway&) = delete;

  void start();
  /// Sends a signal to the process that `start` began, if it still runs.
  void signal(int number) const;
  /// True if the process runs; takes note of its end.
  bool runs();

  const std::string name;
  std::string public_address;
  std::string ready_address;
  std::unique_ptr<fault_proxy> store;
  /// The last SIGTERM, until the next start.
  bool stopping = false;
  /// Status of the last end, -1 before the first.
  int last_status = -1;

 private:
  std::string program;
  std::string folder;
  std::string settings_file;
  pid_t process = 0;
};

}  // namespace chestnuthead::soak
