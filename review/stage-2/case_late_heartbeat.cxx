// A replica that leaves is listed again by its last heartbeat, which the store performs late.

#include <string>

#include "stage.h"

using namespace stage;

namespace {

constexpr int drain_ms = 2'000;
/// How long after its entry was removed the store performs the replica's last heartbeat.
constexpr int heartbeat_late_ms = 3'000;
/// How long the replica serves after its entry was removed.
constexpr int serves_ms = 4'400;
constexpr int work_ms = 900;
constexpr int callers = 12;

struct observed {
  std::mutex guard;
  /// When the client received an answer that the replica had marked, by `elapsed`.
  std::int64_t leaving_passed_on_at = -1;
  std::map<std::string, std::int64_t> sent_at;
  std::map<std::string, std::int64_t> run_at_leaver;
  std::map<std::string, std::string> outcome;
};

}  // namespace

int main(int /*count*/, char** arguments) {
  store platform;
  platform.write("op", "config",
                 configuration_json(1, {route_json("pay", "/pay/", "orders", "unsafe", 1, 2'000)},
                                    {"orders"}));
  observed seen;
  const auto serve = [&seen](replica& self, connection& caller, const message& request) {
    const std::string id = request.field("attempt-id");
    if (self.id == "replica-1") {
      const std::scoped_lock lock(seen.guard);
      seen.run_at_leaver[id] = elapsed();
    }
    ++self.runs;
    sleep_ms(work_ms);
    self.answer(caller, request, 200, self.id + (self.leaving ? " leaving" : ""));
  };
  replica leaver(platform, "replica-1", "orders", serve);
  replica second(platform, "replica-2", "orders", serve);
  replica third(platform, "replica-3", "orders", serve);
  gateway under_test(platform, "edge-1", arguments[1]);
  under_test.start();
  if (!under_test.wait_ready(milliseconds{20'000})) {
    record("the gateway didn't become ready");
    return 2;
  }
  std::atomic<bool> stop = false;
  std::vector<std::thread> clients;
  for (int client = 0; client < callers; ++client) {
    clients.emplace_back([&, client] {
      std::unique_ptr<connection> link;
      sleep_ms(client * work_ms / callers);
      for (int number = 0; !stop; ++number) {
        link = link == nullptr ? connect_to(under_test.port) : std::move(link);
        if (link == nullptr) {
          sleep_ms(100);
          continue;
        }
        const std::string id = "pay-" + std::to_string(client) + "-" + std::to_string(number);
        {
          const std::scoped_lock lock(seen.guard);
          seen.sent_at[id] = elapsed();
        }
        link->send(request_head("POST", "/pay/1", id, 4'000) + "Content-Length: 2\r\n\r\nab");
        message answer;
        const bool whole = read_message(*link, answer, milliseconds{5'000});
        {
          const std::scoped_lock lock(seen.guard);
          seen.outcome[id] = whole ? std::to_string(answer.status()) : "closed";
          if (whole && answer.body == "replica-1 leaving" && seen.leaving_passed_on_at < 0) {
            seen.leaving_passed_on_at = elapsed();
          }
        }
        if (!whole || answer.field("connection") == "close") {
          link.reset();
        }
      }
    });
  }
  sleep_ms(2'000);
  leaver.leaving = true;
  leaver.unlist();
  record("replica-1 leaves: its entry is removed and its answers say so");
  sleep_ms(heartbeat_late_ms);
  if (with_trouble()) {
    leaver.write_entry();
    record("trouble: the store performs the last heartbeat of replica-1, which got no answer");
  }
  sleep_ms(serves_ms - heartbeat_late_ms);
  leaver.exit();
  record("replica-1 ends");
  sleep_ms(1'500);
  if (with_trouble()) {
    platform.remove("servers", "replica-1");
    record("the platform removes the entry of replica-1, which is silent");
  }
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const std::scoped_lock lock(seen.guard);
  record("client: first answer that says replica-1 leaves at " +
         std::to_string(seen.leaving_passed_on_at) + " ms; " + std::to_string(seen.sent_at.size()) +
         " requests sent in all");
  if (seen.leaving_passed_on_at < 0) {
    return 2;
  }
  int late = 0;
  int lost = 0;
  for (const auto& [id, run_at] : seen.run_at_leaver) {
    const auto sent_at = seen.sent_at.at(id);
    if (sent_at > seen.leaving_passed_on_at + drain_ms) {
      ++late;
      lost += seen.outcome[id] == "200" ? 0 : 1;
      record("replica-1 ran " + id + ", sent at " + std::to_string(sent_at) +
             " ms, reached it at " + std::to_string(run_at) + " ms, outcome " + seen.outcome[id]);
    }
  }
  record(std::to_string(late) + " requests reached replica-1 that were sent later than " +
         std::to_string(drain_ms) + " ms after that answer, " + std::to_string(lost) +
         " of them were lost");
  return late > 0 ? 1 : 0;
}
