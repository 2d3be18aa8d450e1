#pragma once

#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace chestnuthead {

/// Loopback address and port that a socket is bound to, as IP:PORT.
inline std::string local_address(int descriptor) {
  sockaddr_in own{};
  socklen_t size = sizeof own;
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&own), &size);
  return "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
}

}  // namespace chestnuthead
