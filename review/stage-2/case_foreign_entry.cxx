// An entry of another writer, with fields missing, names a server that is no replica.

#include <string>

#include "stage.h"

using namespace stage;

namespace {

constexpr int requests = 60;

}  // namespace

int main(int /*count*/, char** arguments) {
  store platform;
  platform.write("op", "config",
                 configuration_json(1, {route_json("pay", "/pay/", "orders", "unsafe", 1, 2'000)},
                                    {"orders"}));
  const auto serve = [](replica& self, connection& caller, const message& request) {
    ++self.runs;
    self.answer(caller, request, 200, "order taken by " + self.id);
  };
  replica first(platform, "replica-1", "orders", serve);
  replica second(platform, "replica-2", "orders", serve);
  // A server of a test environment. It runs what is sent to it.
  replica test_server(platform, "test-7", "orders-test", serve, false);
  gateway under_test(platform, "edge-1", arguments[1]);
  under_test.start();
  if (!under_test.wait_ready(milliseconds{20'000})) {
    record("the gateway didn't become ready");
    return 2;
  }
  if (with_trouble()) {
    const std::string entry = R"({"service":"orders","address":")" + test_server.address() +
                              R"(","batch_slots":64,"state":"ready",)" +
                              R"("warmup_remaining_ms":0})";
    platform.write("servers", "test-7", entry);
    record("trouble: another writer writes servers/test-7 = " + entry);
  }
  sleep_ms(2'000);
  int served = 0;
  int foreign = 0;
  for (int number = 0; number < requests; ++number) {
    const std::string id = "pay-" + std::to_string(number);
    const auto link = connect_to(under_test.port);
    message answer;
    if (link == nullptr ||
        !link->send(request_head("POST", "/pay/1", id, 4'000) + "Content-Length: 2\r\n\r\nab") ||
        !read_message(*link, answer, milliseconds{5'000})) {
      record("client: " + id + " got no answer");
      continue;
    }
    served += answer.status() == 200 ? 1 : 0;
    if (answer.body.find("test-7") != std::string::npos) {
      ++foreign;
      if (foreign <= 5) {
        record("client: " + id + " -> " + std::to_string(answer.status()) + ", signature " +
               answer.field("response-signature") + ", body \"" + answer.body + "\"");
      }
    }
    sleep_ms(20);
  }
  record("client: " + std::to_string(requests) + " requests sent, " + std::to_string(served) +
         " answered 200, " + std::to_string(foreign) + " of them by the server test-7");
  record("runs: replica-1 " + std::to_string(first.runs) + ", replica-2 " +
         std::to_string(second.runs) + ", test-7 " + std::to_string(test_server.runs));
  if (served == 0) {
    return 2;
  }
  return test_server.runs > 0 ? 1 : 0;
}
