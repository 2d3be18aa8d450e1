// Many callers send chunked bodies in very small chunks. Meanwhile ordinary requests reach the
// timeout of their route, and the gateway is asked to stop.

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <string>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "stage.h"

using namespace stage;

namespace {

constexpr int crowd_size = 2'400;
constexpr int sending_threads = 4;
constexpr int ordinary_requests = 12;
constexpr int route_timeout_ms = 500;
/// The rule's allowance after the timeout.
constexpr int allowance_ms = 500;
constexpr int grace_ms = 8'000;

/// Callers that each send a body without end, one byte a chunk and one chunk at a time, and connect
/// again if they are answered or disconnected.
class crowd {
 public:
  crowd(int port, int count) : target(port) {
    for (int thread = 0; thread < sending_threads; ++thread) {
      this->running.emplace_back([this, part = count / sending_threads] { this->run(part); });
    }
  }
  ~crowd() {
    this->stop = true;
    for (std::thread& thread : this->running) {
      thread.join();
    }
  }

  std::atomic<std::uint64_t> sent = 0;
  std::atomic<int> opened = 0;
  std::atomic<int> answered = 0;

 private:
  void open(std::unique_ptr<connection>& link) {
    link = connect_to(this->target);
    if (link == nullptr) {
      return;
    }
    const std::string number = std::to_string(++this->opened);
    link->send(request_head("POST", "/pay/1", "crowd-" + number, 10'000) +
               "Transfer-Encoding: chunked\r\n\r\n");
    ::fcntl(link->socket(), F_SETFL, O_NONBLOCK);
  }

  void run(int size) {
    const std::string chunk = "1\r\nx\r\n";
    std::vector<std::unique_ptr<connection>> links(static_cast<std::size_t>(size));
    for (int round = 0; !this->stop; ++round) {
      for (auto& link : links) {
        if (link == nullptr) {
          this->open(link);
          continue;
        }
        const ssize_t count = ::send(link->socket(), chunk.data(), chunk.size(), MSG_NOSIGNAL);
        this->sent += count > 0 ? static_cast<std::uint64_t>(count) : 0;
        const bool failed = count < 0 && errno != EAGAIN;
        char answer[256];
        // Now and then, so that the thread mostly sends.
        const ssize_t received =
            round % 64 == 0 ? ::recv(link->socket(), answer, sizeof answer, 0) : -1;
        this->answered += received > 0 ? 1 : 0;
        if (failed || received >= 0) {
          link.reset();
        }
      }
    }
  }

  int target;
  std::atomic<bool> stop = false;
  std::vector<std::thread> running;
};

struct ordinary_request {
  std::unique_ptr<connection> link;
  std::int64_t sent_at = 0;
  std::int64_t answered_at = -1;
  int status = 0;
};

/// Lets this process and the gateway open as many descriptors as a machine's settings state.
bool allow_descriptors() {
  constexpr rlim_t wanted = 4'100;
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur >= wanted) {
    return true;
  }
  limit.rlim_cur = wanted;
  return limit.rlim_max >= wanted && ::setrlimit(RLIMIT_NOFILE, &limit) == 0;
}

void collect(std::vector<ordinary_request>& requests) {
  for (ordinary_request& one : requests) {
    message answer;
    if (one.answered_at < 0 && one.link != nullptr &&
        read_message(*one.link, answer, milliseconds{5})) {
      one.answered_at = elapsed();
      one.status = answer.status();
    }
  }
}

}  // namespace

int main(int /*count*/, char** arguments) {
  if (!allow_descriptors()) {
    record("the limit of descriptors is below 4,100");
    return 2;
  }
  store platform;
  platform.write(
      "op", "config",
      configuration_json(1,
                         {route_json("slow", "/slow/", "orders", "unsafe", 1, route_timeout_ms),
                          route_json("pay", "/pay/", "orders", "unsafe", 1, 2'000)},
                         {"orders"}));
  // Each request takes 15 s, as long as its caller waits.
  const auto serve = [](replica& self, connection& caller, const message& request) {
    const int number = ++self.runs;
    record("replica runs " + request.field("attempt-id") + " as run " + std::to_string(number));
    const auto until = elapsed() + 15'000;
    while (elapsed() < until && !caller.ended()) {
      caller.receive(milliseconds{100});
    }
    if (!caller.ended()) {
      self.answer(caller, request, 200, "done");
    }
  };
  replica only(platform, "replica-1", "orders", serve);
  gateway under_test(platform, "edge-1", arguments[1]);
  under_test.start();
  if (!under_test.wait_ready(milliseconds{20'000})) {
    record("the gateway didn't become ready");
    return 2;
  }
  std::unique_ptr<crowd> flood;
  const auto flood_began_at = elapsed();
  if (with_trouble()) {
    record("trouble: " + std::to_string(crowd_size) + " callers send bodies in chunks of one byte");
    flood = std::make_unique<crowd>(under_test.port, crowd_size);
  }
  sleep_ms(1'500);
  std::vector<ordinary_request> requests(ordinary_requests);
  for (std::size_t at = 0; at < requests.size(); ++at) {
    requests[at].link = connect_to(under_test.port);
    requests[at].sent_at = elapsed();
    if (requests[at].link == nullptr ||
        !requests[at].link->send(
            request_head("POST", "/slow/1", "plain-" + std::to_string(at), 10'000) +
            "Content-Length: 2\r\n\r\nab")) {
      record("an ordinary request could not be sent");
      return 2;
    }
  }
  record("client: sent " + std::to_string(ordinary_requests) + " requests with a timeout of " +
         std::to_string(route_timeout_ms) + " ms");
  const auto check_until = elapsed() + 5'000;
  while (elapsed() < check_until) {
    collect(requests);
    sleep_ms(5);
  }
  int late = 0;
  for (std::size_t at = 0; at < requests.size(); ++at) {
    const ordinary_request& one = requests[at];
    const auto took = one.answered_at - one.sent_at;
    const bool is_late = one.answered_at < 0 || took > route_timeout_ms + allowance_ms;
    late += is_late ? 1 : 0;
    record("client: plain-" + std::to_string(at) + " -> " +
           (one.answered_at < 0
                ? std::string("no answer after 5 s")
                : std::to_string(one.status) + " after " + std::to_string(took) + " ms"));
  }
  if (flood != nullptr) {
    record("crowd: " + std::to_string(flood->opened) + " connections, " +
           std::to_string(flood->answered) + " answers, " + std::to_string(flood->sent / 1'000) +
           " KB sent in " + std::to_string((elapsed() - flood_began_at) / 1'000) + " s");
  }
  record("platform: SIGTERM; ready address answers " + std::to_string(under_test.ask_ready()));
  under_test.signal(SIGTERM);
  const auto stop_by = elapsed() + grace_ms;
  int status = 0;
  bool ended = false;
  while (!ended && elapsed() < stop_by) {
    sleep_ms(50);
    ended = under_test.ended(status);
  }
  record(ended ? "the gateway has ended" : "the gateway still runs when the grace period is over");
  flood.reset();
  const bool broken = late >= 8 && 4 * late > ordinary_requests;
  record("late: " + std::to_string(late) + " of " + std::to_string(ordinary_requests) +
         (broken ? ", rule broken" : ", rule kept"));
  return broken ? 1 : 0;
}
