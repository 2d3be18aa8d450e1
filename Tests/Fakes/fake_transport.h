#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "chestnuthead/peer_transport.h"

namespace chestnuthead {

/// An in-memory transport between nodes. Messages are queued until the test delivers them, so
/// that a test can disconnect nodes in between.
class fake_transport : public peer_transport {
 public:
  void send_attempt(const node_id& agent, const std::string& address, attempt_message message,
                    frame_listener listener) override;
  void cancel_attempt(const attempt_id& attempt) override;
  void answer_consumed(const attempt_id& attempt, std::size_t bytes) override;
  void send_probe(const node_id& agent, const std::string& address, probe_message message,
                  probe_listener listener) override;
  void send_gossip(const node_id& to, const std::string& address, gossip_message message) override;

  /// Delivers messages for `address` to `service` from now on.
  void attach(const std::string& address, peer_service& service);
  /// Disconnects `address`: its open attempts end as lost, and messages to it are dropped.
  void disconnect(const std::string& address);
  /// Delivers all queued messages in the order they were sent, including those sent during
  /// delivery.
  void deliver_all();

 private:
  class reply;
  struct open_attempt {
    std::string address;
    request_id request;
    frame_listener listener;
  };

  [[nodiscard]] peer_service* service_at(const std::string& address) const;
  void deliver_frame(const attempt_id& attempt, attempt_frame frame);

  std::map<std::string, peer_service*> services;
  std::map<attempt_id, open_attempt> attempts;
  std::deque<std::function<void()>> queued;
};

}  // namespace chestnuthead
