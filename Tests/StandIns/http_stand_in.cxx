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

constexpr int threads_at_start = 8;
constexpr int threads_at_most = 512;
constexpr int stack_bytes = 256 * 1024;
constexpr int idle_seconds = 60;
constexpr int port_in_use_status = 1;

class function_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit function_handler(const handler& handle_request) : handle(handle_request) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    try {
      this->handle(request, response);
    } catch (const Poco::Exception&) {
      // The caller went away in the middle of its answer.
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

// Written under another name first, so that nobody reads half a file.
void write_ready_file(const std::string& path, const std::string& address) {
  if (path.empty()) {
    return;
  }
  const std::string draft = path + ".draft";
  std::ofstream(draft) << R"({"address":")" << address << "\"}\n";
  std::rename(draft.c_str(), path.c_str());
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
    const Poco::Net::SocketAddress wanted("127.0.0.1", static_cast<Poco::UInt16>(options.port));
    Poco::Net::ServerSocket socket(wanted);
    Poco::ThreadPool threads(threads_at_start, threads_at_most, idle_seconds, stack_bytes);
    auto parameters = Poco::makeAuto<Poco::Net::HTTPServerParams>();
    parameters->setMaxThreads(threads_at_most);
    parameters->setMaxQueued(threads_at_most);
    Poco::Net::HTTPServer server(new function_factory(handle), threads, socket, parameters);
    server.start();
    write_ready_file(options.ready_file, socket.address().toString());
    int received = 0;
    sigwait(&stop_signals, &received);
    server.stopAll(true);
    // Threads that still answer would keep the pool's destructor waiting.
    std::_Exit(0);
  } catch (const Poco::Exception& fault) {
    std::cerr << "Port " << options.port << " can't be opened: " << fault.displayText() << "\n";
    return port_in_use_status;
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
  auto& whole = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  whole.detachSocket().close();
}

}  // namespace stand_in
