// The reader of the gateway's log falls behind, while a client sends requests with long ids.

#include <string>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include "stage.h"

using namespace stage;

namespace {

constexpr int route_timeout_ms = 1'000;
/// The rule's allowance after the timeout.
constexpr int allowance_ms = 500;
constexpr int ordinary_requests = 12;
constexpr int long_requests = 40;
/// Below the limit of a request's head in the configuration, 16,384 bytes.
constexpr int long_id_bytes = 15'000;
/// What the reader takes at a time once it has fallen behind, and how often.
constexpr std::size_t slow_read_bytes = 4'096;
constexpr int slow_read_interval_ms = 3'000;

/// Reads the log as a collector does.
class collector {
 public:
  collector() {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) {
      throw std::runtime_error("no pipe");
    }
    this->from = ends[0];
    this->to = ends[1];
    this->reading = std::thread([this] {
      char bytes[65'536];
      std::int64_t next_at = 0;
      while (!this->stop) {
        pollfd waiting{this->from, POLLIN, 0};
        const bool due = !this->slow || elapsed() >= next_at;
        if (due && ::poll(&waiting, 1, 20) > 0) {
          const ssize_t count =
              ::read(this->from, bytes, this->slow ? slow_read_bytes : sizeof bytes);
          this->received += count > 0 ? count : 0;
          next_at = elapsed() + slow_read_interval_ms;
        } else {
          sleep_ms(5);
        }
      }
    });
  }
  ~collector() {
    this->stop = true;
    this->reading.join();
  }

  int to = -1;
  std::atomic<bool> slow = false;
  std::atomic<long> received = 0;

 private:
  int from = -1;
  std::atomic<bool> stop = false;
  std::thread reading;
};

/// Sends a request on a new connection and returns the time until its answer, or -1.
std::int64_t ask(const gateway& target, const std::string& path, const std::string& id, int& status,
                 milliseconds limit) {
  const auto began = elapsed();
  const auto link = connect_to(target.port);
  message answer;
  if (link == nullptr || !link->send(request_head("GET", path, id, 4'000) + "\r\n") ||
      !read_message(*link, answer, limit)) {
    return -1;
  }
  status = answer.status();
  return elapsed() - began;
}

}  // namespace

int main(int /*count*/, char** arguments) {
  store platform;
  platform.write(
      "op", "config",
      configuration_json(1, {route_json("look", "/look/", "orders", "safe", 1, route_timeout_ms)},
                         {"orders"}));
  const auto serve = [](replica& self, connection& caller, const message& request) {
    ++self.runs;
    self.answer(caller, request, 200, "body of " + request.target());
  };
  replica only(platform, "replica-1", "orders", serve);
  collector log;
  gateway under_test(platform, "edge-1", arguments[1]);
  under_test.log_descriptor = log.to;
  under_test.start();
  if (!under_test.wait_ready(milliseconds{20'000})) {
    record("the gateway didn't become ready");
    return 2;
  }
  int status = 0;
  const auto first = ask(under_test, "/look/1", "plain", status, milliseconds{4'000});
  record("client: GET -> " + std::to_string(status) + " after " + std::to_string(first) + " ms");
  if (first < 0) {
    return 2;
  }
  if (with_trouble()) {
    log.slow = true;
    record("trouble: the reader of the log takes 4 KB in 3 s");
  }
  int answered = 0;
  for (int number = 0; number < long_requests; ++number) {
    std::string id = "long-" + std::to_string(number) + "-";
    id.resize(long_id_bytes, 'x');
    // No route has this path.
    const auto took = ask(under_test, "/none/1", id, status, milliseconds{1'000});
    answered += took >= 0 ? 1 : 0;
    if (took < 0) {
      break;
    }
  }
  record("client: " + std::to_string(answered) + " requests with an id of " +
         std::to_string(long_id_bytes) + " bytes answered, the last with " +
         std::to_string(status));
  // The log is written every few tens of milliseconds.
  sleep_ms(4'000);
  std::vector<std::thread> clients;
  std::atomic<int> late = 0;
  for (int number = 0; number < ordinary_requests; ++number) {
    clients.emplace_back([&, number] {
      int answer = 0;
      const auto took = ask(under_test, "/look/1", "plain-" + std::to_string(number), answer,
                            milliseconds{8'000});
      const bool is_late = took < 0 || took > route_timeout_ms + allowance_ms;
      late += is_late ? 1 : 0;
      record("client: plain-" + std::to_string(number) + " -> " +
             (took < 0 ? std::string("no answer after 8 s")
                       : std::to_string(answer) + " after " + std::to_string(took) + " ms"));
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record("platform: the ready address answers " + std::to_string(under_test.ask_ready()));
  if (log.slow) {
    log.slow = false;
    sleep_ms(500);
    const auto after = ask(under_test, "/look/1", "after", status, milliseconds{4'000});
    record("the reader goes on; client: GET -> " + std::to_string(after < 0 ? 0 : status) +
           " after " + std::to_string(after) + " ms");
  }
  record("late: " + std::to_string(late) + " of " + std::to_string(ordinary_requests) +
         (2 * late > ordinary_requests ? ", rule broken" : ", rule kept"));
  return 2 * late > ordinary_requests ? 1 : 0;
}
