#pragma once

#include <functional>
#include <string>

#include <Poco/Net/SocketAddress.h>

#include "Gateway/gateway_state.h"
#include "Traffic/event_loop.h"
#include "Traffic/traffic_context.h"

namespace chestnuthead::traffic {

/// Tells the other gateways of this one's loads and hears of theirs, over UDP.
class peer_port : public io_watcher {
 public:
  using news_handler = std::function<void(const gateway::table_update&)>;

  /// `address` is the IP number and port to hear at; `on_news` hears what the store
  /// has told the peers.
  peer_port(traffic_context& context, const std::string& address, news_handler on_news);
  ~peer_port() override;
  peer_port(const peer_port&) = delete;
  peer_port& operator=(const peer_port&) = delete;

  /// False if the address can't be listened on; the reason is in `errno`.
  [[nodiscard]] bool is_open() const {
    return this->descriptor >= 0;
  }
  /// Sends news when it is due and works out the peers' loads.
  void tick(steady_time now);
  /// Tells the peers that this gateway ends.
  void say_leaving();

  void on_ready(bool readable, bool writable) override;

 private:
  /// The message's bytes, with this gateway's name, the next number and a seal; empty
  /// while the fleet's key is not known.
  std::string seal(gateway::peer_message word);
  void send_to(const Poco::Net::SocketAddress& target, const std::string& bytes) const;
  void send_to_all(gateway::peer_message word);
  /// News without placements.
  [[nodiscard]] gateway::peer_message make_word(steady_time now) const;
  /// Tells a gateway that has started anew where prefixes are held.
  void greet(const Poco::Net::SocketAddress& newcomer, steady_time now);
  void hear(gateway::peer_message word, const Poco::Net::SocketAddress& sender, steady_time now);

  traffic_context& context;
  news_handler on_news;
  int descriptor = -1;
  std::uint64_t start = 0;
  std::uint64_t sequence = 0;
  steady_time next_at{};
  /// When the next message is due although there is no urgent news.
  steady_time next_full_at{};
  /// The message sent last, without placements.
  gateway::peer_message told;
  steady_time next_sweep_at{};
};

}  // namespace chestnuthead::traffic
