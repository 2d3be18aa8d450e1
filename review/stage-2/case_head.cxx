// A HEAD request on a kept connection while the only replica of its service is down.

#include <string>

#include "stage.h"

using namespace stage;

namespace {

replica::handler look_handler() {
  return [](replica& self, connection& caller, const message& request) {
    ++self.runs;
    record(self.id + " runs " + request.method() + " " + request.target() + ", " +
           request.field("attempt-id"));
    self.answer(caller, request, 200, "body of " + request.target());
  };
}

}  // namespace

int main(int /*count*/, char** arguments) {
  store platform;
  platform.write("op", "config",
                 configuration_json(1, {route_json("look", "/look/", "orders", "safe", 1, 2'000)},
                                    {"orders"}));
  replica first(platform, "replica-1", "orders", look_handler());
  gateway under_test(platform, "edge-1", arguments[1]);
  under_test.start();
  if (!under_test.wait_ready(milliseconds{20'000})) {
    record("the gateway didn't become ready");
    return 2;
  }
  const auto caller = connect_to(under_test.port);
  if (caller == nullptr) {
    return 2;
  }
  bool broken = false;
  int number = 0;
  const auto ask = [&](const std::string& method) {
    const std::string id = "attempt-" + std::to_string(++number);
    caller->send(request_head(method, "/look/" + std::to_string(number), id, 2'000) + "\r\n");
    message answer;
    // The answer to HEAD ends with its head.
    const bool whole = read_message(*caller, answer, milliseconds{4'000}, method == "HEAD");
    record("client: " + method + " " + id + " -> " +
           (whole ? "\"" + answer.first_line + "\"" : std::string("no whole answer")) +
           ", connection " +
           (answer.field("connection").empty() ? "kept" : answer.field("connection")) +
           ", body \"" + answer.body + "\"");
    if (!whole || answer.first_line.rfind("HTTP/1.1 ", 0) != 0) {
      broken = true;
      record("client: that is no answer in the protocol");
    }
    while (caller->receive(milliseconds{200})) {
    }
    if (!caller->buffer.empty()) {
      broken = true;
      record("client: bytes with no request waiting: \"" + caller->buffer + "\"");
    }
  };
  ask("GET");
  ask("HEAD");
  if (with_trouble()) {
    first.listed = false;
    first.exit();
    record("trouble: the replica crashes");
  }
  ask("HEAD");
  replica second(platform, "replica-2", "orders", look_handler());
  record("another replica starts");
  sleep_ms(2'500);
  ask("GET");
  record(broken ? "rule broken" : "rule kept");
  return broken ? 1 : 0;
}
