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

/// Accepts connections of other nodes and hands what they send to a
/// `peer_service`, on its one I/O thread.
class peer_server {
 public:
  /// All arguments must outlive the server.
  peer_server(peer_service& service, hybrid_clock& hybrid, peer_traffic& traffic,
              const http2_link_limits& limits = {});
  ~peer_server();
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;

  /// Listens and starts. Port 0 takes a free one. False if the port can't be
  /// had.
  bool start(const std::string& host, std::uint16_t port);
  void stop();

  /// Attempts whose exchange is not over.
  [[nodiscard]] std::uint32_t attempts_open() const;

  /// IP number and port, once started.
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
