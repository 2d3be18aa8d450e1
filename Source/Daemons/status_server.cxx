#include "Daemons/status_server.h"

#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

namespace chestnuthead {

namespace {

constexpr int status_threads = 4;

class status_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit status_handler(const status_callback& handler_callback) : callback(handler_callback) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const std::string path = request.getURI().substr(0, request.getURI().find('?'));
    const status_response answer = this->callback({request.getMethod(), path});
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    response.setContentType(answer.content_type);
    response.sendBuffer(answer.body.data(), answer.body.size());
  }

 private:
  const status_callback& callback;
};

class status_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit status_factory(const status_callback& factory_callback) : callback(factory_callback) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    // The server takes ownership.
    return new status_handler(this->callback);
  }

 private:
  const status_callback& callback;
};

}  // namespace

status_server::status_server(status_callback server_callback)
    : callback(std::move(server_callback)) {}

status_server::~status_server() {
  this->stop();
}

bool status_server::start(const std::string& host, std::uint16_t port) {
  try {
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(host, port));
    Poco::AutoPtr<Poco::Net::HTTPServerParams> params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(status_threads);
    params->setKeepAlive(false);
    this->server =
        std::make_unique<Poco::Net::HTTPServer>(new status_factory(this->callback), socket, params);
    this->server->start();
    this->bound = socket.address().toString();
  } catch (const Poco::Exception&) {
    return false;
  }
  return true;
}

void status_server::stop() {
  if (this->server != nullptr) {
    this->server->stopAll(true);
    this->server.reset();
  }
}

std::string status_server::address() const {
  return this->bound;
}

}  // namespace chestnuthead
