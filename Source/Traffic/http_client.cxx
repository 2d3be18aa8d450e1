#include "Traffic/http_client.h"

#include <algorithm>
#include <utility>

namespace chestnuthead::traffic {

struct http_client::connection : disposable {
  connection(event_loop& loop, const std::string& address, http_client& owner)
      : reader(http_kind::answer, owner), link(loop, address, owner) {}

  http_reader reader;
  byte_link link;
};

http_client::http_client(event_loop& io, const clock& source, std::string target)
    : loop(io), time(source), address(std::move(target)) {}

http_client::~http_client() = default;

void http_client::drop() {
  if (this->present != nullptr) {
    this->present->link.close();
    this->loop.dispose(std::move(this->present));
  }
}

void http_client::call(const http_call& wanted, std::function<void(http_reply)> hearer) {
  if (this->present == nullptr) {
    this->present = std::make_unique<connection>(this->loop, this->address, *this);
  }
  this->done = std::move(hearer);
  this->reply = http_reply{};
  this->reply.began_at = this->time.now();
  this->give_up_at = this->reply.began_at + wanted.limit;
  this->status = 0;
  this->too_long = false;
  std::string bytes =
      wanted.method + " " + wanted.target + " HTTP/1.1\r\nHost: " + this->address + "\r\n";
  if (!wanted.body.empty()) {
    bytes +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(wanted.body.size()) +
        "\r\n";
  }
  bytes += "\r\n" + wanted.body;
  this->present->link.send(bytes);
}

void http_client::tick() {
  const bool refused_at_once = this->present != nullptr && this->present->link.failed();
  if (this->busy() && (refused_at_once || this->time.now() >= this->give_up_at)) {
    this->drop();
    this->finish(0);
  }
}

void http_client::on_bytes(std::string_view bytes) {
  std::string_view rest = bytes;
  while (!rest.empty() && this->present != nullptr && this->busy()) {
    rest.remove_prefix(std::min(rest.size(), this->present->reader.feed(rest)));
    if (this->present != nullptr &&
        (this->too_long || this->present->reader.fault() != http_fault::none)) {
      this->drop();
      this->finish(0);
      return;
    }
  }
  if (!rest.empty()) {
    this->drop();
  }
}

bool http_client::on_head(http_head& head) {
  this->status = head.status;
  this->keeps_open = head.keeps_open;
  return true;
}

void http_client::on_body(std::string_view bytes) {
  this->too_long = this->too_long || this->reply.body.size() + bytes.size() > longest_reply_bytes;
  if (!this->too_long) {
    this->reply.body.append(bytes);
  }
}

void http_client::on_message_end() {
  if (this->too_long) {
    return;
  }
  if (!this->keeps_open) {
    this->drop();
  }
  this->finish(this->status);
}

void http_client::on_end(link_end /*end*/) {
  this->drop();
  if (this->busy()) {
    this->finish(0);
  }
}

void http_client::finish(int result) {
  const std::function<void(http_reply)> hearer = std::exchange(this->done, nullptr);
  this->reply.status = result;
  if (hearer != nullptr) {
    hearer(std::exchange(this->reply, {}));
  }
}

}  // namespace chestnuthead::traffic
