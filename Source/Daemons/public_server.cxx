#include "Daemons/public_server.h"

#include <array>
#include <chrono>
#include <istream>
#include <thread>
#include <utility>
#include <variant>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>

#include "Daemons/caller_answer.h"
#include "Daemons/public_request.h"
#include "Daemons/traffic_flow.h"

namespace chestnuthead {

namespace {

constexpr int stack_bytes = 256 * 1024;
constexpr int spare_threads = 16;
constexpr int thread_idle_seconds = 30;
constexpr int accept_backlog = 1'024;
constexpr int queued_connections_limit = 4'096;
/// Socket timeout while a caller sends its request or receives its answer.
constexpr int caller_timeout_seconds = 30;
/// Longest time that a stopping server waits for open connections.
constexpr std::chrono::milliseconds connection_drain_timeout{2'000};
constexpr std::chrono::milliseconds connection_drain_poll_interval{10};

/// Reads the complete body; fails if it exceeds the limit or is truncated.
std::variant<std::string, request_fault> read_body(Poco::Net::HTTPServerRequest& request) {
  const auto length = request.getContentLength64();
  if (length > static_cast<Poco::Int64>(body_limit_bytes)) {
    return request_fault{error_kind::body_too_large, {}};
  }
  std::string body;
  std::array<char, 16'384> buffer{};
  std::istream& in = request.stream();
  while (in.read(buffer.data(), buffer.size()) || in.gcount() > 0) {
    body.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
    if (body.size() > body_limit_bytes) {
      return request_fault{error_kind::body_too_large, {}};
    }
  }
  if (request.hasContentLength() && static_cast<Poco::Int64>(body.size()) < length) {
    return request_fault{error_kind::malformed_request,
                         "The body is shorter than its length says."};
  }
  return body;
}

class caller_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit caller_handler(caller_service& handler_service) : service(handler_service) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const std::string& uri = request.getURI();
    if (!is_endpoint_path(uri)) {
      this->send_status(uri.substr(0, uri.find('?')), response);
      return;
    }
    auto& implementation = static_cast<Poco::Net::HTTPServerRequestImpl&>(request);
    caller_answer answer(implementation.socket(), response);
    this->serve(request, answer);
  }

 private:
  void send_status(const std::string& path, Poco::Net::HTTPServerResponse& response) {
    const status_response answer = this->service.answer_status(path);
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    response.setContentType(answer.content_type);
    response.sendBuffer(answer.body.data(), answer.body.size());
  }

  void serve(Poco::Net::HTTPServerRequest& request, caller_answer& answer) {
    auto body = read_body(request);
    if (const auto* fault = std::get_if<request_fault>(&body)) {
      answer.reject_unread(fault->kind, fault->message);
      return;
    }
    caller_request whole{request.getMethod(), request.getURI(), request.get("Content-Type", ""),
                         std::move(std::get<std::string>(body)),
                         [&request](const char* name) { return request.get(name, ""); }};
    auto result = read_request(std::move(whole), this->service.make_unique_name());
    if (const auto* fault = std::get_if<request_fault>(&result)) {
      answer.error(fault->kind, fault->message, run_state::not_run, {});
      return;
    }
    run_exchange(this->service, std::get<std::shared_ptr<exchange>>(result), answer);
  }

  caller_service& service;
};

class caller_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit caller_factory(caller_service& factory_service) : service(factory_service) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    // The server takes ownership.
    return new caller_handler(this->service);
  }

 private:
  caller_service& service;
};

}  // namespace

public_server::public_server(caller_service& server_service, std::uint32_t server_threads)
    : service(server_service), threads(server_threads) {}

public_server::~public_server() {
  this->stop();
}

bool public_server::start(const std::string& host, std::uint16_t port) {
  const int max_threads = static_cast<int>(this->threads);
  this->pool = std::make_unique<Poco::ThreadPool>(std::min(spare_threads, max_threads), max_threads,
                                                  thread_idle_seconds, stack_bytes);
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(host, port), /* reuseAddress */ true,
                /* reusePort */ false);
    socket.listen(accept_backlog);
    Poco::AutoPtr<Poco::Net::HTTPServerParams> params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(max_threads);
    params->setMaxQueued(queued_connections_limit);
    params->setTimeout(Poco::Timespan(caller_timeout_seconds, 0));
    this->server = std::make_unique<Poco::Net::HTTPServer>(new caller_factory(this->service),
                                                           *this->pool, socket, params);
    this->server->start();
    this->bound = socket.address().toString();
  } catch (const Poco::Exception&) {
    return false;
  }
  return true;
}

bool public_server::busy() const {
  return this->server->currentConnections() > 0 || this->server->queuedConnections() > 0;
}

void public_server::stop() {
  if (this->server != nullptr) {
    // Connections that were accepted before are still served, if only with the
    // error that the router is stopping. After the timeout, idle connections are
    // closed.
    this->server->stop();
    const steady_time latest = std::chrono::steady_clock::now() + connection_drain_timeout;
    while (this->busy() && std::chrono::steady_clock::now() < latest) {
      std::this_thread::sleep_for(connection_drain_poll_interval);
    }
    this->server->stopAll(true);
    this->pool->joinAll();
    this->server.reset();
  }
}

std::string public_server::address() const {
  return this->bound;
}

}  // namespace chestnuthead
