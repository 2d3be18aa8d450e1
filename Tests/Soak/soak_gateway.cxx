#include "soak_gateway.h"

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace chestnuthead::soak {

soak_gateway::soak_gateway(std::string gateway_name, std::string binary, std::string work_folder,
                           std::unique_ptr<fault_proxy> proxy, const std::string& more_settings)
    : name(std::move(gateway_name)),
      store_proxy(std::move(proxy)),
      program(std::move(binary)),
      folder(std::move(work_folder)),
      settings_file(folder + "/" + name + ".json") {
  std::ofstream file(this->settings_file);
  file << R"({"node":")" << this->name << R"(","failure_domain":"north","public_address":")"
       << this->public_port.address << R"(","ready_address":")" << this->ready_port.address
       << R"(","peer_address":")" << this->peer_port.address << R"(","store_address":")"
       << this->store_proxy->address << '"' << more_settings << '}';
}

soak_gateway::~soak_gateway() {
  this->signal(SIGKILL);
  if (this->process > 0) {
    ::waitpid(this->process, nullptr, 0);
  }
}

void soak_gateway::start() {
  this->stopping = false;
  this->process = ::fork();
  if (this->process < 0) {
    throw std::runtime_error("Can't fork the process of the gateway.");
  }
  if (this->process == 0) {
    // An aborted soak leaves no gateways behind.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const std::string log = this->folder + "/" + this->name + ".log";
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execl(this->program.c_str(), this->program.c_str(), this->settings_file.c_str(), nullptr);
    ::_exit(127);
  }
}

void soak_gateway::signal(int number) const {
  if (this->process > 0) {
    ::kill(this->process, number);
  }
}

bool soak_gateway::is_running() {
  if (this->process <= 0) {
    return false;
  }
  int status = 0;
  if (::waitpid(this->process, &status, WNOHANG) == this->process) {
    this->last_status = status;
    this->process = 0;
  }
  return this->process > 0;
}

}  // namespace chestnuthead::soak
