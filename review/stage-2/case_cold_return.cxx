// A zone loses power. One of its replicas starts again cold under its id, and the zone's gateway
// finds the entry of the replica's life before in the store.

#include <algorithm>
#include <csignal>
#include <deque>
#include <string>

#include "stage.h"

using namespace stage;

namespace {

/// `warmup_per_s` x `warmup_overshoot` + `warmup_slack` of the sheet: 17 x 1.5 + 5.
constexpr std::size_t allowed_in_a_second = 30;
/// "Well above" the 17 requests a second that the cold replica tolerates.
constexpr std::size_t crashes_at = 60;
constexpr milliseconds cold_for{3'000};
constexpr int down_ms = 500;
/// The replica writes its first entry less than a heartbeat after its start.
constexpr int first_entry_after_ms = 1'000;
constexpr int callers = 30;
constexpr int work_ms = 100;
constexpr int longest_pause_ms = 60;

struct observed {
  std::mutex guard;
  std::deque<std::int64_t> cold_arrivals;
  std::size_t busiest = 0;
  int cold_requests = 0;
  bool crashed = false;
  int served = 0;
  int lost = 0;
  std::map<std::string, bool> at_crashed;
};

}  // namespace

int main(int /*count*/, char** arguments) {
  store platform;
  std::string configuration =
      configuration_json(1, {route_json("ask", "/ask/", "model", "unsafe", 1, 4'000)}, {"model"});
  const std::string limit = R"("max_connections":370)";
  configuration.replace(configuration.find(limit), limit.size(),
                        limit + R"(,"warmup_s":3.0,"warmup_per_s":17.0)");
  platform.write("op", "config", configuration);
  observed seen;
  const auto serve = [&seen](replica& self, connection& caller, const message& request) {
    const std::string id = request.field("attempt-id");
    bool crashes = false;
    if (self.is_cold()) {
      const std::scoped_lock lock(seen.guard);
      const auto now = elapsed();
      seen.cold_arrivals.push_back(now);
      ++seen.cold_requests;
      while (seen.cold_arrivals.front() <= now - 1'000) {
        seen.cold_arrivals.pop_front();
      }
      seen.busiest = std::max(seen.busiest, seen.cold_arrivals.size());
      seen.at_crashed[id] = true;
      crashes = seen.cold_arrivals.size() >= crashes_at && !seen.crashed;
      seen.crashed = seen.crashed || crashes;
    }
    if (crashes) {
      record(self.id + " crashes under the requests");
      self.exited = true;
      return;
    }
    sleep_ms(work_ms);
    if (self.exited) {
      caller.reset();
      return;
    }
    self.answer(caller, request, 200, self.id);
  };
  replica returning(platform, "replica-1", "model", serve);
  replica second(platform, "replica-2", "model", serve);
  gateway local(platform, "edge-bole-1", arguments[1]);
  gateway other(platform, "edge-kirkos-1", arguments[1]);
  local.start();
  other.start();
  if (!local.wait_ready(milliseconds{20'000}) || !other.wait_ready(milliseconds{20'000})) {
    record("a gateway didn't become ready");
    return 2;
  }
  std::atomic<bool> stop = false;
  std::vector<std::thread> clients;
  for (int client = 0; client < callers; ++client) {
    clients.emplace_back([&, client] {
      const gateway& target = client % 2 == 0 ? local : other;
      std::unique_ptr<connection> link;
      for (int number = 0; !stop; ++number) {
        link = link == nullptr ? connect_to(target.port) : std::move(link);
        if (link == nullptr) {
          sleep_ms(20);
          continue;
        }
        const std::string id = "ask-" + std::to_string(client) + "-" + std::to_string(number);
        message answer;
        const bool whole =
            link->send(request_head("POST", "/ask/1", id, 4'000) + "Content-Length: 2\r\n\r\nab") &&
            read_message(*link, answer, milliseconds{5'000});
        {
          const std::scoped_lock lock(seen.guard);
          const bool good = whole && answer.status() == 200;
          seen.served += good ? 1 : 0;
          seen.lost += !good && seen.at_crashed.count(id) != 0 ? 1 : 0;
        }
        if (!whole || answer.field("connection") == "close") {
          link.reset();
        }
        sleep_ms(client * longest_pause_ms / callers);
      }
    });
  }
  sleep_ms(4'000);
  {
    const std::scoped_lock lock(seen.guard);
    record("served before: " + std::to_string(seen.served));
  }
  if (with_trouble()) {
    record("trouble: the zone bole loses power, with edge-bole-1 and replica-1");
    local.signal(SIGKILL);
    returning.listed = false;
    returning.exit();
    int status = 0;
    while (!local.ended(status)) {
      sleep_ms(5);
    }
    sleep_ms(down_ms);
    returning.start_again(cold_for);
    local.start();
    record("both are back; replica-1 is cold for 3 s");
    sleep_ms(first_entry_after_ms);
    if (!returning.exited) {
      returning.write_entry();
      returning.listed = true;
      record("replica-1 writes its entry");
    }
  }
  sleep_ms(4'000);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const std::scoped_lock lock(seen.guard);
  record("replica-1 got " + std::to_string(seen.cold_requests) + " requests while cold, " +
         std::to_string(seen.busiest) + " in the busiest second, " +
         std::to_string(allowed_in_a_second) + " allowed; " + std::to_string(seen.lost) +
         " of them had no good answer");
  if (seen.served == 0) {
    return 2;
  }
  return seen.busiest > allowed_in_a_second ? 1 : 0;
}
