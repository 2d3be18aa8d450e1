#include "Traffic/http_client.h"

#include <algorithm>
#include <utility>

namespace chestnuthead::traffic {

struct http_client::connection : disposable {
  connection(event_loop& loop, const std::string& address, http_client& owner)
      : reader(http_kind::answer, owner), link(loop, address, owner) {}

  http_reader reader;
  tcp_link link;
};

std::string_view name_of(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::answered:
      return "answered";
    case call_outcome::silent:
      return "silent";
    case call_outcome::unfinished:
      return "unfinished";
    case call_outcome::too_long:
      return "too_long";
    case call_outcome::broken:
      break;
  }
  return "broken";
}

http_client::http_client(event_loop& io, const clock& source, std::string target)
    : loop(io), time(source), address(std::move(target)) {}

http_client::~http_client() = default;

void http_client::drop() {
  if (this->present != nullptr) {
    this->present->link.close();
    this->loop.dispose(std::move(this->present));
  }
}

void http_client::call(const http_call& wanted, std::function<void(http_reply)> callback) {
  if (this->present != nullptr && this->present->link.has_unread_input_or_end()) {
    // What has arrived is no reply to this call.
    this->drop();
  }
  if (this->present == nullptr) {
    this->present = std::make_unique<connection>(this->loop, this->address, *this);
  }
  this->done = std::move(callback);
  this->reply = http_reply{};
  this->reply.began_at = this->time.now();
  this->last_bytes_at = this->reply.began_at;
  this->answer_started = false;
  this->present_call = wanted;
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

void http_client::cancel() {
  if (this->present != nullptr) {
    this->present->link.discard();
  }
  this->drop();
  this->done = nullptr;
  this->reply = {};
}

void http_client::tick() {
  if (!this->busy()) {
    return;
  }
  if (this->present != nullptr && this->present->link.failed()) {
    this->abort_call(call_outcome::broken);
    return;
  }
  const steady_time now = this->time.now();
  const bool is_silent = now - this->last_bytes_at >= this->present_call.silence_limit;
  const bool is_late = now - this->reply.began_at >= this->present_call.limit;
  if (is_silent || is_late) {
    this->abort_call(this->answer_started ? call_outcome::unfinished : call_outcome::silent);
  }
}

void http_client::on_bytes(std::string_view bytes) {
  this->answer_started = true;
  this->last_bytes_at = this->time.now();
  // The end of a call may start another one on a new connection.
  connection* const source = this->present.get();
  std::string_view rest = bytes;
  while (!rest.empty() && this->present.get() == source && this->busy()) {
    rest.remove_prefix(std::min(rest.size(), source->reader.feed(rest)));
    if (this->too_long) {
      this->abort_call(call_outcome::too_long);
      return;
    }
    if (this->present.get() == source && source->reader.fault() != http_fault::none) {
      this->abort_call(call_outcome::broken);
      return;
    }
  }
  if (!rest.empty() && this->present.get() == source) {
    this->drop();
  }
}

bool http_client::on_head(http_head& head) {
  this->reply.head = head;
  this->too_long = head.length.value_or(0) > this->present_call.max_reply_bytes;
  return !this->too_long;
}

void http_client::on_body(std::string_view bytes) {
  this->reply.received_bytes += bytes.size();
  this->too_long =
      this->too_long || this->reply.received_bytes > this->present_call.max_reply_bytes;
  if (!this->too_long) {
    this->reply.body.append(bytes);
  }
}

void http_client::on_message_end() {
  if (this->too_long) {
    return;
  }
  if (!this->reply.head.keeps_open || this->present->reader.has_surplus()) {
    this->drop();
  }
  this->finish(call_outcome::answered);
}

void http_client::on_end(link_end /*end*/) {
  this->drop();
  if (this->busy()) {
    this->finish(call_outcome::broken);
  }
}

void http_client::abort_call(call_outcome outcome) {
  if (this->present != nullptr) {
    this->present->link.discard();
  }
  this->drop();
  this->finish(outcome);
}

void http_client::finish(call_outcome outcome) {
  const std::function<void(http_reply)> callback = std::exchange(this->done, nullptr);
  this->reply.outcome = outcome;
  this->reply.status = outcome == call_outcome::answered ? this->reply.head.status : 0;
  if (callback != nullptr) {
    callback(std::exchange(this->reply, {}));
  }
}

}  // namespace chestnuthead::traffic
