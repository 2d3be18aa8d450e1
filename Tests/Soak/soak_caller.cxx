#include "soak_caller.h"

#include <algorithm>
#include <utility>

namespace chestnuthead::soak {

namespace {

std::string format_request(const soak_request& request) {
  const std::string common = "Host: soak.example\r\nAttempt-Id: " + request.id +
                             "\r\nApi-Key: " + request.key + "\r\nDeadline-Ms: 4000\r\n";
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
    case request_kind::lookup:
      break;
  }
  return "GET /look/1 HTTP/1.1\r\n" + common + "\r\n";
}

}  // namespace

soak_caller::soak_caller(traffic::event_loop& loop, const clock& source, std::string gateway_name,
                         const std::string& address, result_handler on_end)
    : time(source),
      gateway(std::move(gateway_name)),
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
  this->current.has_retry_after = find_field(head, "Retry-After") != nullptr;
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

void soak_caller::on_end(traffic::link_end /*end*/) {
  this->closed = true;
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
