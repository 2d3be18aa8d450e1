// Many callers send chunked bodies in very small chunks, far over the limit. Meanwhile ordinary
// requests reach the timeout of their route, and the gateway is asked to stop.

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <string>

#include <fcntl.h>
#include <sys/socket.h>

#include "stage.h"

using namespace stage;

namespace {

constexpr int crowd_size = 300;
constexpr int ordinary_requests = 12;
constexpr int route_timeout_ms = 500;
/// The rule's allowance after the timeout.
constexpr int allowance_ms = 500;
constexpr int grace_ms = 8'000;

/// Callers that send a body without end, and connect again once they get an answer or are
/// disconnected.
class crowd {
 public:
  crowd(int port, int count) : target(port), size(count) {
    for (int one = 0; one < 4'000; ++one) {
      this->chunks += "1\r\nx\r\n";
    }
    this->running = std::thread([this] { this->run(); });
  }
  ~crowd() {
    this->stop = true;
    this->running.join();
  }

  std::atomic<std::uint64_t> sent = 0;
  std::atomic<int> opened = 0;
  std::atomic<int> answered = 0;

 private:
  struct flooding_caller {
    std::unique_ptr<connection> link;
    std::string out;
    std::size_t at = 0;
  };

  void open(flooding_caller& one) {
    one.link = connect_to(this->target);
    if (one.link == nullptr) {
      return;
    }
    ++this->opened;
    ::fcntl(one.link->socket(), F_SETFL, O_NONBLOCK);
    one.out = request_head("POST", "/pay/1", "flood-" + std::to_string(this->opened), 4'000) +
              "Transfer-Encoding: chunked\r\n\r\n";
    one.at = 0;
  }

  /// Sends what the connection takes. False if it takes nothing now.
  bool push(flooding_caller& one) {
    char answer[256];
    const ssize_t received = ::recv(one.link->socket(), answer, sizeof answer, 0);
    if (received >= 0) {
      this->answered += received > 0 ? 1 : 0;
      one.link.reset();
      return true;
    }
    const ssize_t count =
        ::send(one.link->socket(), one.out.data() + one.at, one.out.size() - one.at, MSG_NOSIGNAL);
    if (count < 0) {
      if (errno != EAGAIN) {
        one.link.reset();
      }
      return false;
    }
    this->sent += static_cast<std::uint64_t>(count);
    one.at += static_cast<std::size_t>(count);
    if (one.at == one.out.size()) {
      one.out = this->chunks;
      one.at = 0;
    }
    return true;
  }

  void run() {
    std::vector<flooding_caller> all(static_cast<std::size_t>(this->size));
    while (!this->stop) {
      bool any = false;
      for (flooding_caller& one : all) {
        if (one.link == nullptr) {
          this->open(one);
        } else {
          any = this->push(one) || any;
        }
      }
      if (!any) {
        sleep_ms(1);
      }
    }
  }

  int target;
  int size;
  std::string chunks;
  std::atomic<bool> stop = false;
  std::thread running;
};

struct ordinary_request {
  std::unique_ptr<connection> link;
  std::int64_t sent_at = 0;
  std::int64_t answered_at = -1;
  int status = 0;
};

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
  const char* wanted = std::getenv("CROWD");
  const int size = wanted == nullptr ? crowd_size : std::atoi(wanted);
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
  if (with_trouble()) {
    record("trouble: " + std::to_string(size) + " callers send bodies in chunks of one byte");
    flood = std::make_unique<crowd>(under_test.port, size);
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
           std::to_string(flood->answered) + " answers, " +
           std::to_string(flood->sent / 1'000'000) + " MB sent");
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
