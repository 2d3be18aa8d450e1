#include "Net/peer_client.h"

#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include "Net/client_link.h"

namespace chestnuthead {

peer_client::peer_client(hybrid_clock& client_hybrid, peer_traffic& client_traffic,
                         lost_listener client_lost, const peer_client_limits& client_limits)
    : hybrid(client_hybrid),
      traffic(client_traffic),
      lost(std::move(client_lost)),
      limits(client_limits) {}

peer_client::~peer_client() {
  this->stop();
}

void peer_client::start() {
  this->loop.start();
}

void peer_client::stop() {
  this->loop.stop();
}

std::shared_ptr<client_link> peer_client::link_to(const node_id& node, const std::string& address) {
  const auto place = this->links.find(address);
  if (place != this->links.end()) {
    return place->second;
  }
  try {
    const Poco::Net::SocketAddress target(address);
    auto link = std::make_shared<client_link>(*this, node, address, target,
                                              std::chrono::steady_clock::now());
    this->links[address] = link;
    this->loop.add(link);
    return link;
  } catch (const Poco::Exception&) {
    this->lost(node);
    return nullptr;
  }
}

void peer_client::remove_link(const client_link& link) {
  const auto place = this->links.find(link.peer_address());
  if (place != this->links.end() && place->second.get() == &link) {
    this->links.erase(place);
  }
}

void peer_client::send_attempt(const node_id& agent, const std::string& address,
                               attempt_message message, frame_listener listener) {
  this->loop.post([this, agent, address, message = std::move(message),
                   listener = std::move(listener)]() mutable {
    const auto link = this->link_to(agent, address);
    if (link != nullptr) {
      link->send_attempt(message, std::move(listener));
      return;
    }
    listener(
        refused_frame{message.facts.request, message.attempt, refusal_kind::not_ready, {}, {}});
  });
}

void peer_client::cancel_attempt(const attempt_id& attempt) {
  this->loop.post([this, attempt] {
    const auto place = this->attempts.find(attempt);
    if (place == this->attempts.end()) {
      return;
    }
    if (const auto link = place->second.lock()) {
      link->cancel_attempt(attempt);
    }
  });
}

void peer_client::answer_consumed(const attempt_id& attempt, std::size_t bytes) {
  this->loop.post([this, attempt, bytes] {
    const auto place = this->attempts.find(attempt);
    if (place == this->attempts.end()) {
      return;
    }
    if (const auto link = place->second.lock()) {
      link->answer_consumed(attempt, bytes);
    }
  });
}

void peer_client::send_probe(const node_id& agent, const std::string& address,
                             probe_message message, probe_listener listener) {
  this->loop.post([this, agent, address, message = std::move(message),
                   listener = std::move(listener)]() mutable {
    if (const auto link = this->link_to(agent, address)) {
      link->send_probe(message, std::move(listener));
    }
  });
}

void peer_client::send_gossip(const node_id& to, const std::string& address,
                              gossip_message message) {
  this->loop.post([this, to, address, message = std::move(message)] {
    if (const auto link = this->link_to(to, address)) {
      link->send_gossip(message);
    }
  });
}

}  // namespace chestnuthead
