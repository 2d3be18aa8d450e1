#include "soak_caller.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace chestnuthead::soak {

namespace {

std::string format_resumption(const soak_request& request) {
  return request.resumed_attempt.empty() ? std::string()
                                         : "Last-Event-Id: " + std::to_string(request.last_event) +
                                               "\r\nResumes: " + request.resumed_attempt + "\r\n";
}

/// Reads a time in seconds; zero if it is absent or not a number.
std::chrono::milliseconds read_seconds(const std::string* text) {
  const double seconds = text == nullptr ? 0.0 : std::strtod(text->c_str(), nullptr);
  return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
}

std::string format_request(const soak_request& request) {
  const std::string common =
      "Host: soak.example\r\nAttempt-Id: " + request.id + "\r\nApi-Key: " + request.key +
      "\r\nDeadline-Ms: " + std::to_string(request.time_left.count()) + "\r\n";
  const std::string middle =
      request.holds_crashing_part ? std::string(crashing_part) + ":50," : std::string();
  const std::string prompt = std::string("Token-Usage: ") + (middle.empty() ? "100" : "150") +
                             ",20\r\nPrefix-Hash: a:50," + middle + request.id + ":50\r\n";
  switch (request.kind) {
    case request_kind::chat:
      return "POST /chat/1 HTTP/1.1\r\n" + common + prompt + "Content-Length: 2\r\n\r\nhi";
    case request_kind::guide:
      return "POST /guide/1 HTTP/1.1\r\n" + common + prompt + "Content-Length: 2\r\n\r\nhi";
    case request_kind::payment:
      return "POST /pay/1 HTTP/1.1\r\n" + common +
             "Transfer-Encoding: chunked\r\n\r\n3\r\npay\r\n" + "0\r\n\r\n";
    case request_kind::writing:
      return "POST /write/" + request.stream + " HTTP/1.1\r\n" + common +
             format_resumption(request) + "Content-Length: 2\r\n\r\nhi";
    case request_kind::lookup:
      break;
  }
  return "GET /look/1 HTTP/1.1\r\n" + common + "\r\n";
}

}  // namespace

soak_caller::soak_caller(traffic::event_loop& loop, const clock& source, std::string gateway_name,
                         const std::string& address, result_handler on_end)
    : gateway(std::move(gateway_name)),
      time(source),
      on_finished(std::move(on_end)),
      reader(traffic::http_kind::answer, *this),
      link(loop, address, *this) {}

void soak_caller::send_request(soak_request request) {
  this->request_open = true;
  this->current = std::move(request);
  this->current.gateway = this->gateway;
  this->current.sent_at = this->time.now();
  this->link.send(format_request(this->current));
}

void soak_caller::on_bytes(std::string_view bytes) {
  std::string_view rest = bytes;
  while (!rest.empty() && this->reader.fault() == traffic::http_fault::none) {
    rest.remove_prefix(std::min(rest.size(), this->reader.feed(rest)));
  }
}

bool soak_caller::on_head(traffic::http_head& head) {
  this->current.status = head.status;
  this->current.retry_after = read_seconds(find_field(head, "Retry-After"));
  const std::string* signature = find_field(head, "Response-Signature");
  this->current.signature = signature == nullptr ? std::string() : *signature;
  return true;
}

void soak_caller::on_body(std::string_view bytes) {
  this->current.body.append(bytes);
}

void soak_caller::on_message_end() {
  this->current.complete = true;
  this->report_result();
}

void soak_caller::reset() {
  this->link.discard();
  this->on_end(traffic::link_end::broken);
}

void soak_caller::on_end(traffic::link_end end) {
  this->closed = true;
  this->current.refused = end == traffic::link_end::not_opened;
  if (this->request_open) {
    this->report_result();
  }
}

void soak_caller::report_result() {
  this->request_open = false;
  this->current.ended_at = this->time.now();
  this->on_finished(this->current);
}

}  // namespace chestnuthead::soak
