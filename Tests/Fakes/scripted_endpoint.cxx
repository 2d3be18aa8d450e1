#include "scripted_endpoint.h"

#include <algorithm>
#include <utility>

#include <unistd.h>

#include "Fakes/local_address.h"

namespace chestnuthead {

scripted_endpoint::connection::connection(scripted_endpoint& endpoint, int socket)
    : owner(endpoint),
      reader(traffic::http_kind::request, *this),
      link(endpoint.loop, socket, *this) {}

void scripted_endpoint::connection::reset() {
  this->link.discard();
}

void scripted_endpoint::connection::on_bytes(std::string_view bytes) {
  std::string_view rest = bytes;
  while (!rest.empty() && this->reader.fault() == traffic::http_fault::none) {
    rest.remove_prefix(std::min(rest.size(), this->reader.feed(rest)));
  }
}

void scripted_endpoint::connection::on_end(traffic::link_end how) {
  this->closed = true;
  this->end = how;
}

bool scripted_endpoint::connection::on_head(traffic::http_head& head) {
  this->current_request = {head, {}};
  if (this->owner.on_request_head) {
    this->stop_reading();
    this->owner.on_request_head(*this);
  }
  return true;
}

void scripted_endpoint::connection::stop_reading() {
  constexpr int smallest_buffer_bytes = 4'096;
  this->link.bound_receive_buffer(smallest_buffer_bytes);
  this->link.pause(true);
}

void scripted_endpoint::connection::on_body(std::string_view bytes) {
  this->current_request.body.append(bytes);
}

void scripted_endpoint::connection::on_message_end() {
  this->owner.serve(*this, std::move(this->current_request));
}

scripted_endpoint::scripted_endpoint(traffic::event_loop& io)
    : loop(io), descriptor(traffic::listen_on("127.0.0.1:0")) {
  this->address = local_address(this->descriptor);
  this->loop.watch(this->descriptor, *this, {true, false});
}

scripted_endpoint::~scripted_endpoint() {
  this->loop.unwatch(this->descriptor);
  ::close(this->descriptor);
}

void scripted_endpoint::on_ready(bool /*readable*/, bool /*writable*/) {
  const int socket = traffic::accept_one(this->descriptor);
  if (socket >= 0) {
    this->connections.push_back(std::make_unique<connection>(*this, socket));
  }
}

void scripted_endpoint::serve(connection& caller, request received) {
  this->requests.push_back(std::move(received));
  const script next = this->scripts.front();
  if (this->scripts.size() > 1) {
    this->scripts.pop_front();
  }
  next(caller);
}

}  // namespace chestnuthead
