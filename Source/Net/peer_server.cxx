#include "Net/peer_server.h"

#include <chrono>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>

#include "Net/server_link.h"

namespace chestnuthead {

/// Accepts connections on the server's I/O thread.
class accept_handler : public io_handler {
 public:
  explicit accept_handler(peer_server& handler_owner) : owner(handler_owner) {}

  [[nodiscard]] int descriptor() const override {
    return this->owner.socket.impl()->sockfd();
  }
  [[nodiscard]] bool wants_read() const override {
    return true;
  }
  [[nodiscard]] bool wants_write() const override {
    return false;
  }
  bool ready(bool /*readable*/, bool /*writable*/, steady_time now) override {
    try {
      Poco::Net::StreamSocket socket = this->owner.socket.acceptConnection();
      socket.setBlocking(false);
      socket.setNoDelay(true);
      this->owner.loop.add(std::make_shared<server_link>(this->owner, socket, now));
    } catch (const Poco::Exception&) {
      // The peer closed the connection first, or the process has no free
      // descriptors. Continue to accept.
    }
    return true;
  }
  bool tick(steady_time /*now*/) override {
    return true;
  }
  void removed() override {}

 private:
  peer_server& owner;
};

peer_server::peer_server(peer_service& server_service, hybrid_clock& server_hybrid,
                         peer_traffic& server_traffic, const http2_link_limits& server_limits)
    : service(server_service),
      hybrid(server_hybrid),
      traffic(server_traffic),
      limits(server_limits) {}

peer_server::~peer_server() {
  this->stop();
}

bool peer_server::start(const std::string& host, std::uint16_t port) {
  constexpr int backlog = 1'024;
  try {
    this->socket.bind(Poco::Net::SocketAddress(host, port), /* reuseAddress */ true,
                      /* reusePort */ false);
    this->socket.listen(backlog);
    this->socket.setBlocking(false);
  } catch (const Poco::Exception&) {
    return false;
  }
  this->loop.add(std::make_shared<accept_handler>(*this));
  this->loop.start();
  return true;
}

void peer_server::stop() {
  this->loop.stop();
  this->socket.close();
}

std::uint32_t peer_server::attempts_open() const {
  return this->open_attempts;
}

std::string peer_server::address() const {
  return this->socket.address().toString();
}

}  // namespace chestnuthead
