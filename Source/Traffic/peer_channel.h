#pragma once

#include <functional>
#include <string>

#include <Poco/Net/SocketAddress.h>

#include "Gateway/gateway_state.h"
#include "Traffic/event_loop.h"
#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

/// Exchanges loads, placements and table updates with the other gateways over UDP.
class peer_channel : public io_watcher {
 public:
  using table_update_handler = std::function<void(const gateway::table_update&)>;

  /// `address` is the IP number and port to receive at; `on_table_update` is called with each
  /// update of a store table that a peer forwards.
  peer_channel(traffic_context& context, const std::string& address,
               table_update_handler on_table_update);
  ~peer_channel() override;
  peer_channel(const peer_channel&) = delete;
  peer_channel& operator=(const peer_channel&) = delete;

  /// False if the address can't be listened on; the reason is in `errno`.
  [[nodiscard]] bool is_open() const {
    return this->descriptor >= 0;
  }
  /// Applies the loads that peers reported, and sends a message if one is due.
  void tick(steady_time now);
  /// Notifies the peers that this gateway is shutting down.
  void send_leaving();

  void on_ready(bool readable, bool writable) override;

 private:
  /// Adds this gateway's name and the next sequence number, encodes the message and appends
  /// its authentication code. Empty while the fleet's key is not known.
  std::string encode_and_sign(gateway::peer_message message);
  void send_to(const Poco::Net::SocketAddress& target, const std::string& bytes) const;
  void send_to_all(gateway::peer_message message);
  /// The message with the present state, without placements and table updates.
  [[nodiscard]] gateway::peer_message make_message(steady_time now) const;
  /// Sends a gateway that has just started the endpoints that hold each prefix.
  void send_placements(const Poco::Net::SocketAddress& new_peer, steady_time now);
  void handle_message(gateway::peer_message message, const Poco::Net::SocketAddress& sender,
                      steady_time now);

  traffic_context& context;
  table_update_handler on_table_update;
  int descriptor = -1;
  std::uint64_t start = 0;
  std::uint64_t sequence = 0;
  steady_time next_at{};
  /// When the next periodic message is due, even if nothing has changed.
  steady_time next_periodic_at{};
  /// The last message sent to all peers, without placements and table updates.
  gateway::peer_message last_sent;
  steady_time next_sweep_at{};
};

}  // namespace chestnuthead::traffic
