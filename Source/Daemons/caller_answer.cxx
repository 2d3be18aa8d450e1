#include "Daemons/caller_answer.h"

#include <ostream>

#include <Poco/Exception.h>
#include <sys/socket.h>

#include "Daemons/public_request.h"
#include "Net/request_headers.h"

namespace chestnuthead {

namespace {

constexpr const char* endpoint_header = "Chestnut-Endpoint";

void set_status(Poco::Net::HTTPServerResponse& response, int status) {
  const auto value = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status);
  response.setStatusAndReason(value, Poco::Net::HTTPResponse::getReasonForStatus(value));
}

}  // namespace

caller_answer::caller_answer(Poco::Net::StreamSocket& answer_socket,
                             Poco::Net::HTTPServerResponse& answer_response)
    : socket(answer_socket), response(answer_response) {}

void caller_answer::set_request_id(const request_id& request) {
  this->response.set(request_id_header, request.value);
}

void caller_answer::set_endpoint(const node_id& agent) {
  this->response.set(endpoint_header, agent.value);
}

void caller_answer::set_generated_key(const idempotency_key& key) {
  this->response.set(generated_key_header, key.value);
}

bool caller_answer::send_head(int status, const std::string& content_type) {
  set_status(this->response, status);
  if (!content_type.empty()) {
    this->response.setContentType(content_type);
  }
  this->response.set(ran_header, std::string(name_of(run_state::ran)));
  this->response.setChunkedTransferEncoding(true);
  try {
    this->out = &this->response.send();
    this->out->flush();
    return this->out->good();
  } catch (const Poco::Exception&) {
    return false;
  }
}

bool caller_answer::write(const std::string& bytes) {
  if (this->out == nullptr) {
    return false;
  }
  try {
    *this->out << bytes << std::flush;
    return this->out->good();
  } catch (const Poco::Exception&) {
    return false;
  }
}

void caller_answer::abort_response() {
  // Poco writes the terminating chunk when the response is destroyed, which would
  // make the answer look complete. Shutting down the socket first prevents this.
  this->response.setKeepAlive(false);
  ::shutdown(this->socket.impl()->sockfd(), SHUT_RDWR);
}

void caller_answer::error(error_kind kind, const std::string& message, run_state ran,
                          std::chrono::milliseconds retry_after) {
  set_status(this->response, answer_for(kind).http_status);
  this->response.setContentType("application/json");
  this->response.set(ran_header, std::string(name_of(ran)));
  if (answer_for(kind).retry_after) {
    this->response.set("Retry-After", std::to_string(retry_after_seconds(retry_after)));
  }
  const std::string body = format_error(kind, message, ran, retry_after);
  try {
    this->response.sendBuffer(body.data(), body.size());
  } catch (const Poco::Exception&) {
    // The caller has disconnected; there is nobody to answer.
  }
}

void caller_answer::reject_unread(error_kind kind, const std::string& message) {
  this->response.setKeepAlive(false);
  this->error(kind, message, run_state::not_run, {});
}

bool caller_answer::caller_disconnected() const {
  char byte = 0;
  const ssize_t size = recv(this->socket.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0;
}

}  // namespace chestnuthead
