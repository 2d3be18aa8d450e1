#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>

#include "Control/command_line.h"
#include "Load/expected_answer.h"
#include "StandIns/http_stand_in.h"

/// A plain service that counts how often each idempotency key was executed.
namespace {

struct plain_service {
  std::uint64_t delay_ms = 0;
  std::atomic<std::uint32_t> running{0};
  std::mutex guard;
  std::map<std::string, std::uint32_t> executions;
};

void send_executions(plain_service& service, Poco::Net::HTTPServerResponse& response) {
  Poco::JSON::Object counts;
  {
    const std::lock_guard lock(service.guard);
    for (const auto& [key, count] : service.executions) {
      counts.set(key, count);
    }
  }
  stand_in::send_json(response, 200, counts);
}

void execute(plain_service& service, Poco::Net::HTTPServerRequest& request,
             Poco::Net::HTTPServerResponse& response) {
  const std::string body = stand_in::read_body(request);
  ++service.running;
  {
    const std::lock_guard lock(service.guard);
    ++service.executions[request.get("Idempotency-Key", "")];
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(service.delay_ms));
  --service.running;
  stand_in::send_json(
      response, 200,
      chestnuthead::expected_service_answer(request.getMethod(), request.getURI(), body));
}

void handle(plain_service& service, Poco::Net::HTTPServerRequest& request,
            Poco::Net::HTTPServerResponse& response) {
  const std::string& path = request.getURI();
  if (path == "/health") {
    stand_in::send_json(response, 200, R"({"status":"ok"})");
    return;
  }
  if (path == "/load") {
    Poco::JSON::Object load;
    load.set("running", service.running.load());
    load.set("waiting", 0);
    stand_in::send_json(response, 200, load);
    return;
  }
  if (path == "/executions") {
    send_executions(service, response);
    return;
  }
  execute(service, request, response);
}

}  // namespace

int main(int argc, char** argv) {
  plain_service service;
  stand_in::listen_options listen;
  const auto done = chestnuthead::handle_command_line(
      argc, argv, "Stands in for a plain service and counts executions by idempotency key.",
      {{"port", &listen.port, "Port on 127.0.0.1; 0 selects any free port."},
       {"ready-file", &listen.ready_file,
        "File that the address is written to once the port is open."},
       {"delay-ms", &service.delay_ms, "Time that each call takes, in milliseconds."}});
  if (done) {
    return *done;
  }
  return stand_in::serve(
      listen, [&service](auto& request, auto& response) { handle(service, request, response); });
}
