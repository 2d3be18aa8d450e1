#include "Traffic/monitoring_server.h"

#include <algorithm>
#include <utility>

#include <unistd.h>

namespace chestnuthead::traffic {

namespace {

/// The reason phrase of the statuses that handlers return.
std::string phrase_of(int status) {
  switch (status) {
    case 200:
      return " OK";
    case 400:
      return " Bad Request";
    default:
      return " Service Unavailable";
  }
}

}  // namespace

/// One client connection. It carries any number of requests, one after the other.
class monitoring_server::connection : public disposable,
                                      public link_listener,
                                      public http_listener {
 public:
  connection(monitoring_server& server, int socket)
      : owner(server), reader(http_kind::request, *this), link(server.loop, socket, *this) {}

  void on_open() override {}

  void on_bytes(std::string_view bytes) override {
    std::string_view rest = bytes;
    while (!rest.empty()) {
      rest.remove_prefix(std::min(rest.size(), this->reader.feed(rest)));
      if (this->reader.fault() != http_fault::none) {
        this->link.close();
        this->owner.remove(*this);
        return;
      }
    }
  }

  void on_end(link_end /*end*/) override {
    this->owner.remove(*this);
  }

  bool on_head(http_head& head) override {
    this->target = head.target;
    return true;
  }

  void on_body(std::string_view /*bytes*/) override {}

  void on_message_end() override {
    const monitoring_response answer = this->owner.handler(this->target);
    this->link.send("HTTP/1.1 " + std::to_string(answer.status) + phrase_of(answer.status) +
                    "\r\nContent-Type: " + answer.content_type + "\r\nContent-Length: " +
                    std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body);
  }

 private:
  monitoring_server& owner;
  http_reader reader;
  tcp_link link;
  std::string target;
};

monitoring_server::monitoring_server(event_loop& io, int listening_descriptor,
                                     monitoring_handler answers)
    : loop(io), descriptor(listening_descriptor), handler(std::move(answers)) {
  this->loop.watch(this->descriptor, *this, {true, false});
}

monitoring_server::~monitoring_server() {
  this->connections.clear();
  this->loop.unwatch(this->descriptor);
  ::close(this->descriptor);
}

void monitoring_server::on_ready(bool /*readable*/, bool /*writable*/) {
  const int socket = accept_one(this->descriptor);
  if (socket >= 0) {
    auto made = std::make_unique<connection>(*this, socket);
    connection* key = made.get();
    this->connections.emplace(key, std::move(made));
  }
}

void monitoring_server::remove(connection& ended) {
  const auto place = this->connections.find(&ended);
  if (place != this->connections.end()) {
    this->loop.dispose(std::move(place->second));
    this->connections.erase(place);
  }
}

}  // namespace chestnuthead::traffic
