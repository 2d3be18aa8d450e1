#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "chestnuthead/peer_transport.h"

#include "Net/http2_link.h"
#include "Net/hybrid_clock.h"
#include "Net/io_loop.h"
#include "Net/peer_protocol.h"

namespace chestnuthead {

class client_link;

/// Timeouts of the connections to peers.
struct peer_client_limits {
  std::chrono::milliseconds connect_timeout{1'000};
  std::chrono::seconds idle_timeout{30};
  http2_link_limits link;
};

/// Client side of the peer transport: sends attempts, probes and gossip over
/// HTTP/2 connections that are opened on demand and closed when idle. Callbacks
/// run on its I/O thread.
class peer_client : public peer_transport {
 public:
  using lost_listener = std::function<void(node_id)>;

  /// `hybrid` and `traffic` must outlive the client. `lost` is called with the
  /// node of each connection that could not be opened or that failed.
  peer_client(hybrid_clock& hybrid, peer_traffic& traffic, lost_listener lost,
              const peer_client_limits& limits = {});
  ~peer_client() override;
  peer_client(const peer_client&) = delete;
  peer_client& operator=(const peer_client&) = delete;

  void start();
  void stop();

  void send_attempt(const node_id& agent, const std::string& address, attempt_message message,
                    frame_listener listener) override;
  void cancel_attempt(const attempt_id& attempt) override;
  void answer_consumed(const attempt_id& attempt, std::size_t bytes) override;
  void send_probe(const node_id& agent, const std::string& address, probe_message message,
                  probe_listener listener) override;
  void send_gossip(const node_id& to, const std::string& address, gossip_message message) override;

 private:
  friend class client_link;

  /// The open connection to the address, or a new one; nullptr if the address
  /// is not valid. This and all members below are used on the I/O thread only.
  std::shared_ptr<client_link> link_to(const node_id& node, const std::string& address);
  void remove_link(const client_link& link);

  hybrid_clock& hybrid;
  peer_traffic& traffic;
  lost_listener lost;
  peer_client_limits limits;
  std::map<std::string, std::shared_ptr<client_link>> links;
  std::map<attempt_id, std::weak_ptr<client_link>> attempts;
  io_loop loop;
};

}  // namespace chestnuthead
