#include "StandIns/http_stand_in.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

namespace stand_in {

namespace {

constexpr int initial_threads = 8;
constexpr int max_threads = 512;
constexpr int stack_bytes = 256 * 1024;
constexpr int idle_seconds = 60;
constexpr int listen_failed_status = 1;

class function_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit function_handler(const handler& handle_request) : handle(handle_request) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    try {
      this->handle(request, response);
    } catch (const Poco::Exception&) {
      // The caller closed the connection before its answer was complete.
      drop_connection(request);
    }
  }

 private:
  const handler& handle;
};

class function_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit function_factory(const handler& handle_request) : handle(handle_request) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new function_handler(this->handle);
  }

 private:
  const handler& handle;
};

// Writes to a temporary file and renames it, so that readers never see a partial file.
void write_ready_file(const std::string& path, const std::string& address) {
  if (path.empty()) {
    return;
  }
  const std::string temporary = path + ".draft";
  std::ofstream(temporary) << R"({"address":")" << address << "\"}\n";
  std::rename(temporary.c_str(), path.c_str());
}

}  // namespace

int serve(const listen_options& options, const handler& handle) {
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const Poco::Net::SocketAddress listen_address("127.0.0.1",
                                                  static_cast<Poco::UInt16>(options.port));
    Poco::Net::ServerSocket socket(listen_address);
    Poco::ThreadPool threads(initial_threads, max_threads, idle_seconds, stack_bytes);
    auto parameters = Poco::makeAuto<Poco::Net::HTTPServerParams>();
    parameters->setMaxThreads(max_threads);
    parameters->setMaxQueued(max_threads);
    Poco::Net::HTTPServer server(new function_factory(handle), threads, socket, parameters);
    server.start();
    write_ready_file(options.ready_file, socket.address().toString());
    int received = 0;
    sigwait(&stop_signals, &received);
    server.stopAll(true);
    // Exits without destructors: that of the pool would wait for threads that still answer.
    std::_Exit(0);
  } catch (const Poco::Exception& error) {
    std::cerr << "Port " << options.port << " can't be opened: " << error.displayText() << "\n";
    return listen_failed_status;
  }
}

void send_json(Poco::Net::HTTPServerResponse& response, int status, const std::string& text) {
  response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentType("application/json");
  response.setContentLength64(static_cast<Poco::Int64>(text.size()));
  response.send() << text;
}

void send_json(Poco::Net::HTTPServerResponse& response, int status,
               const Poco::JSON::Object& object) {
  std::ostringstream text;
  object.stringify(text);
  send_json(response, status, text.str());
}

void send_error(Poco::Net::HTTPServerResponse& response, int status, const std::string& sentence) {
  Poco::JSON::Object object;
  object.set("error", sentence);
  send_json(response, status, object);
}

std::string read_body(Poco::Net::HTTPServerRequest& request) {
  return {std::istreambuf_iterator<char>(request.stream()), {}};
}

Poco::JSON::Object::Ptr read_json(Poco::Net::HTTPServerRequest& request) {
  try {
    Poco::JSON::Parser parser;
    return parser.parse(read_body(request)).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception&) {
    return {};
  }
}

void drop_connection(Poco::Net::HTTPServerRequest& request) {
  auto& request_impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  request_impl.detachSocket().close();
}

}  // namespace stand_in
