#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include <Poco/Net/ServerSocket.h>

#include "chestnuthead/peer_transport.h"

#include "Net/http2_link.h"
#include "Net/hybrid_clock.h"
#include "Net/io_loop.h"
#include "Net/peer_protocol.h"

namespace chestnuthead {

/// Server side of the peer transport: accepts connections of other nodes and
/// passes their messages to a `peer_service`, on its I/O thread.
class peer_server {
 public:
  /// All arguments must outlive the server.
  peer_server(peer_service& service, hybrid_clock& hybrid, peer_traffic& traffic,
              const http2_link_limits& limits = {});
  ~peer_server();
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;

  /// Listens and starts the I/O thread. Port 0 picks a free port. False if the
  /// port can't be bound.
  bool start(const std::string& host, std::uint16_t port);
  void stop();

  /// Number of attempts whose streams are open.
  [[nodiscard]] std::uint32_t attempts_open() const;

  /// Numeric IP address and port; valid once started.
  [[nodiscard]] std::string address() const;

 private:
  friend class accept_handler;
  friend class server_link;
  friend class server_reply;

  peer_service& service;
  hybrid_clock& hybrid;
  peer_traffic& traffic;
  http2_link_limits limits;
  Poco::Net::ServerSocket socket;
  std::atomic<std::uint32_t> open_attempts{0};
  io_loop loop;
};

}  // namespace chestnuthead
