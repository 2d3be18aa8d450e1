#include "Traffic/caller_link.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <Poco/Net/HTTPResponse.h>

#include "Gateway/readiness.h"

namespace chestnuthead::traffic {

namespace {

/// How long a connection that is closing waits for the caller to close its side once the caller
/// has all bytes.
constexpr std::chrono::milliseconds linger_limit{2'000};
constexpr std::string_view last_chunk = "0\r\n\r\n";

void append_chunk(std::string& out, std::string_view bytes) {
  constexpr int hexadecimal = 16;
  std::array<char, 16> size{};
  const auto end =
      std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexadecimal).ptr;
  out.append(size.data(), end);
  out += "\r\n";
  out += bytes;
  out += "\r\n";
}

gateway::caller_limits limits_of(const traffic_context& context) {
  return context.state.services == nullptr ? gateway::caller_limits{}
                                           : context.state.services->limits;
}

}  // namespace

caller_link::caller_link(traffic_context& shared, caller_links& links, int descriptor)
    : context(shared),
      owner(links),
      reader(http_kind::request, *this),
      link(shared.loop, descriptor, *this),
      phase_started_at(shared.time.now()) {}

void caller_link::on_bytes(std::string_view bytes) {
  if (this->closing) {
    return;
  }
  this->unread.append(bytes);
  this->read_buffered();
}

void caller_link::read_buffered() {
  while (!this->unread.empty() && this->active == nullptr && !this->closing && !this->gone) {
    if (this->reader.between_messages()) {
      this->phase_started_at = this->context.time.now();
      this->reader.limit_heads(largest_head());
      this->limits = limits_of(this->context);
    }
    const std::string bytes = std::exchange(this->unread, {});
    const std::size_t taken = this->reader.feed(bytes);
    if (this->gone) {
      return;
    }
    if (this->reader.fault() == http_fault::header_too_large) {
      this->send_error(error_kind::header_too_large);
    } else if (this->reader.fault() == http_fault::malformed && !this->closing) {
      this->send_error(error_kind::malformed_request);
    } else if (taken < bytes.size()) {
      this->unread.insert(0, bytes, taken);
    }
  }
}

bool caller_link::on_head(http_head& head) {
  this->keeps_open = head.keeps_open;
  this->body.clear();
  this->rejection.reset();
  this->request.reset();
  auto decoded = this->context.dialect.decode_request(head);
  if (const auto* kind = std::get_if<error_kind>(&decoded)) {
    this->rejection = *kind;
  } else {
    this->request = std::move(std::get<gateway::caller_request>(decoded));
  }
  if (head.length.value_or(0) > this->limits.body_bytes) {
    this->send_error(error_kind::body_too_large);
    return false;
  }
  if (const std::string* expected = find_field(head, "Expect")) {
    if (*expected == "100-continue") {
      this->link.send("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
  return true;
}

void caller_link::on_body(std::string_view bytes) {
  if (this->closing) {
    return;
  }
  if (this->body.size() + bytes.size() > this->limits.body_bytes) {
    this->send_error(error_kind::body_too_large);
    return;
  }
  this->body.append(bytes);
}

void caller_link::on_message_end() {
  if (this->closing) {
    return;
  }
  if (this->rejection) {
    this->send_error(*this->rejection);
    return;
  }
  if (this->link.is_closed_by_peer()) {
    this->drop_disconnected_caller();
    return;
  }
  this->active = std::make_unique<exchange>(this->context, *this, std::move(*this->request),
                                            std::exchange(this->body, {}));
  this->active->start();
}

void caller_link::drop_disconnected_caller() {
  // The gateway was suspended, or the request was delayed by a network interruption, until the
  // caller disconnected.
  this->context.metrics.count("chestnuthead_requests_total",
                              "pool=\"none\",outcome=\"caller_left\"");
  this->context.log.write(log_level::info, "request_rejected",
                          {{"reason", std::string("caller_left")}, {"request", this->request->id}});
  this->remove();
}

void caller_link::send_error(error_kind kind) {
  const error_answer& answer = answer_for(kind);
  this->keeps_open = false;
  this->context.log.write(log_level::info, "request_rejected",
                          {{"reason", std::string(answer.name)},
                           {"request", this->request ? this->request->id : std::string()}});
  this->send_whole(this->context.dialect.status_of(kind), "Content-Type: text/plain\r\n",
                   answer.sentence);
  this->close_gracefully();
}

bool caller_link::stays_open() const {
  return this->keeps_open && !this->stopping;
}

void caller_link::close_if_others_better() {
  if (others_are_better(this->context.state, this->context.time.now())) {
    this->keeps_open = false;
  }
}

std::string caller_link::head_of(int status, std::string_view headers) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head += Poco::Net::HTTPResponse::getReasonForStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  head += "\r\n";
  head += headers;
  this->close_announced = !this->stays_open();
  if (this->close_announced) {
    head += "Connection: close\r\n";
  }
  return head;
}

void caller_link::send_whole(int status, std::string_view headers, std::string_view bytes) {
  this->close_if_others_better();
  std::string out = this->head_of(status, headers);
  out += "Content-Length: " + std::to_string(bytes.size()) + "\r\n\r\n";
  out += bytes;
  this->link.send(out);
}

void caller_link::begin_stream(int status, std::string_view headers, std::string_view first) {
  this->close_if_others_better();
  std::string out = this->head_of(status, headers);
  out += "Transfer-Encoding: chunked\r\n\r\n";
  append_chunk(out, first);
  this->link.send(out);
}

void caller_link::send_more(std::string_view bytes) {
  std::string out;
  append_chunk(out, bytes);
  this->link.send(out);
}

void caller_link::end_stream() {
  this->link.send(last_chunk);
}

void caller_link::abort_answer() {
  this->link.close();
  this->closing = true;
}

std::size_t caller_link::unsent() const {
  return this->link.unsent();
}

void caller_link::on_exchange_end() {
  if (this->active != nullptr) {
    this->context.loop.dispose(std::move(this->active));
  }
  this->phase_started_at = this->context.time.now();
  if (this->link.failed()) {
    this->remove();
  } else if (this->close_announced) {
    this->close_gracefully();
  } else if (!this->unread.empty()) {
    this->read_buffered();
  }
}

void caller_link::close_gracefully() {
  this->closing = true;
  this->phase_started_at = this->context.time.now();
  this->undelivered = this->link.undelivered();
  this->link.finish_sending();
}

void caller_link::tick_closing(steady_time now) {
  const std::size_t left = this->link.undelivered();
  if (left < this->undelivered) {
    this->phase_started_at = now;
  }
  this->undelivered = left;
  const std::chrono::milliseconds limit = left > 0 ? accepted_unacknowledged_limit : linger_limit;
  if (now - this->phase_started_at > limit) {
    this->remove();
  }
}

void caller_link::on_end(link_end /*end*/) {
  if (this->active != nullptr) {
    this->active->caller_left();
    return;
  }
  this->remove();
}

void caller_link::end_reading() {
  // The caller may not have received all of the answer before.
  if (this->link.undelivered() > 0) {
    this->close_gracefully();
  } else {
    this->remove();
  }
}

void caller_link::remove() {
  if (!this->gone) {
    this->gone = true;
    this->link.close();
    this->owner.remove(*this);
  }
}

void caller_link::stop_when_idle() {
  this->stopping = true;
}

void caller_link::close_if_idle() {
  // A request that has arrived is answered: its caller can't tell whether it was read.
  if (this->active == nullptr && this->reader.between_messages() && !this->closing &&
      !this->link.has_unread_input()) {
    this->close_gracefully();
  }
}

void caller_link::end_request_at_stop() {
  if (this->active != nullptr) {
    this->active->end_at_stop();
  }
}

void caller_link::tick(steady_time now) {
  if (this->active != nullptr) {
    this->active->tick(now);
    return;
  }
  if (this->closing) {
    this->tick_closing(now);
  } else if (!this->reader.between_messages()) {
    // A request whose head was read may take up to the idle timeout to send its body.
    const bool is_head_read = this->request || this->rejection;
    const auto longest = is_head_read ? this->limits.idle_timeout : this->limits.header_timeout;
    if (now - this->phase_started_at > longest && !this->link.has_unread_input()) {
      this->end_reading();
    }
  } else if (now - this->phase_started_at > limits_of(this->context).idle_timeout) {
    this->close_if_idle();
  }
}

}  // namespace chestnuthead::traffic
