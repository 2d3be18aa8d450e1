/// One answer of one replica goes on with bytes that are no events, without end.

#include <atomic>
#include <mutex>
#include <thread>

#include "stage.h"

namespace {

using namespace stage;

constexpr milliseconds route_timeout{2'000};
/// The rule's span after the timeout.
constexpr milliseconds late_after{500};
constexpr milliseconds client_deadline{4'000};
/// Requests that a check needs at least.
constexpr int fewest = 8;
constexpr milliseconds before{4'000};
constexpr milliseconds observed{20'000};

struct outcome {
  std::string gateway;
  std::int64_t sent_at = 0;
  milliseconds took{0};
  int status = 0;
};

std::mutex lock;
std::vector<outcome> outcomes;
std::atomic<bool> spoils_next{false};
std::atomic<std::int64_t> spoilt_at{-1};
std::atomic<bool> is_over{false};

void serve_order(replica& one, connection& caller, const request& call) {
  note("run " + call.field("Attempt-Id") + " at " + one.id);
  sleep_for(milliseconds{60});
  caller.send(success_head(call, one.id, 2) + "ok");
}

void send_without_end(const replica& one, connection& caller) {
  spoilt_at = now_ms();
  note(one.id + " goes on with bytes that are no event");
  std::string bytes;
  for (int count = 0; count < 4'096; ++count) {
    bytes += chunk("x\n");
  }
  std::size_t sent = 0;
  while (caller.send(bytes)) {
    sent += bytes.size();
  }
  note(one.id + "'s connection was closed after " + std::to_string(sent) + " bytes or more");
  caller.close();
}

void serve_stream(replica& one, connection& caller, const request& call) {
  note("run " + call.field("Attempt-Id") + " at " + one.id);
  sleep_for(milliseconds{20});
  caller.send(success_head(call, one.id, -1));
  for (int number = 1; number <= 48; ++number) {
    sleep_for(milliseconds{25});
    if (!caller.send(chunk("id: " + std::to_string(number) + "\ndata: a lesson\n\n"))) {
      return;
    }
    if (number == 3 && spoils_next.exchange(false)) {
      send_without_end(one, caller);
      return;
    }
  }
  caller.send("0\r\n\r\n");
}

std::string format_request(const std::string& path, const std::string& attempt,
                           milliseconds deadline, const std::string& fields) {
  const std::string body = "body of " + attempt;
  return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + attempt +
         "\r\nDeadline-Ms: " + std::to_string(deadline.count()) + "\r\nApi-Key: " + api_key +
         "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends payments one after another on a kept connection.
void run_payer(int number, const gateway& one) {
  std::unique_ptr<connection> link;
  for (int count = 0; !is_over; ++count) {
    if (link == nullptr && (link = connect_to(one.public_address)) == nullptr) {
      sleep_for(milliseconds{200});
      continue;
    }
    const std::string attempt =
        "pay-" + one.name + "-" + std::to_string(number) + "-" + std::to_string(count);
    const std::int64_t sent_at = now_ms();
    link->send(format_request("/puxa403/2f", attempt, client_deadline, {}));
    const answer found = read_answer(*link, clock::now() + client_deadline);
    note("sent " + attempt + " at " + std::to_string(sent_at) + ", status " +
         std::to_string(found.status) + " " + found.end + " after " +
         std::to_string(found.took.count()) + " ms");
    {
      const std::lock_guard<std::mutex> guard(lock);
      outcomes.push_back({one.name, sent_at, found.took, found.complete ? found.status : 0});
    }
    if (!found.complete || found.field("Connection") == "close") {
      link.reset();
    }
    sleep_for(milliseconds{300});
  }
}

void run_reader(const gateway& one) {
  for (int count = 0; !is_over; ++count) {
    const std::string attempt = "guide-" + one.name + "-" + std::to_string(count);
    std::thread([attempt, address = one.public_address] {
      const auto link = connect_to(address);
      if (link == nullptr) {
        return;
      }
      link->send(format_request("/lohu930/2f", attempt, milliseconds{12'000},
                                "Model: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,"
                                "91bd3f06:410,e4402b7d:250\r\n"));
      const answer found = read_answer(*link, clock::now() + milliseconds{12'000});
      note("stream " + attempt + " status " + std::to_string(found.status) + " " + found.end +
           " after " + std::to_string(found.took.count()) + " ms");
    }).detach();
    sleep_for(milliseconds{400});
  }
}

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  store rows;
  rows.put(
      "op", "config",
      configuration(
          7,
          R"({"name":"order-pay","host":"ficu95.example","prefix":"/puxa403/","type":"unsafe",)"
          R"("timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"kit-orders",)"
          R"("max_attempts":1,"public":false,"session_affinity":false},)"
          R"({"name":"lesson-guide","host":"ficu95.example","prefix":"/lohu930/","type":"stream",)"
          R"("timeout_ms":12000,"target_latency_ms":800,"priority":1,"service":"chestnut-llm",)"
          R"("max_attempts":1,"public":false,"session_affinity":true,"stream_resume":false,)"
          R"("gap_target_ms":250})",
          R"({"name":"kit-orders","health_check_path":"/healthz","max_connections":110,)"
          R"("warmup_s":0.0,"warmup_per_s":0.0},)"
          R"({"name":"chestnut-llm","health_check_path":"/healthz","max_connections":370,)"
          R"("warmup_s":0.0,"warmup_per_s":0.0,"engine":{"batch_slots":64,)"
          R"("kv_capacity_tokens":517068}})"));
  std::vector<replica> replicas(8);
  for (std::size_t place = 0; place < replicas.size(); ++place) {
    replica& one = replicas[place];
    const bool order = place < 4;
    one.id = (order ? "i-order-" : "i-model-") + std::to_string(place);
    one.service = order ? "kit-orders" : "chestnut-llm";
    one.slots = order ? 6 : 64;
    one.work = order ? serve_order : serve_stream;
    start(one, rows);
  }
  const std::vector<gateway> gateways{start_gateway("edge-bole-1", rows),
                                      start_gateway("edge-yeka-1", rows)};
  await_ready(gateways);
  std::vector<std::thread> clients;
  for (const gateway& one : gateways) {
    for (int number = 0; number < 8; ++number) {
      clients.emplace_back(run_payer, number, std::cref(one));
    }
    clients.emplace_back(run_reader, std::cref(one));
  }
  sleep_for(before);
  spoils_next = is_trouble();
  const std::int64_t begun_at = now_ms();
  sleep_for(observed);
  is_over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  bool broken = false;
  int served = 0;
  for (const gateway& one : gateways) {
    int unanswered = 0;
    int late = 0;
    for (const outcome& found : outcomes) {
      const bool is_counted = found.gateway == one.name && found.sent_at >= begun_at;
      served += found.status == 200 ? 1 : 0;
      if (is_counted && found.took >= route_timeout) {
        ++unanswered;
        late += found.took >= route_timeout + late_after ? 1 : 0;
      }
    }
    note(one.name + ": " + std::to_string(unanswered) + " payments unanswered after 2,000 ms, " +
         std::to_string(late) + " of them after 2,500 ms");
    broken = broken || (unanswered >= fewest && 2 * late > unanswered);
  }
  if (served < 50 || (is_trouble() && spoilt_at < 0)) {
    give_up("too few requests were served, or no answer was spoilt");
  }
  finish(broken ? rule_broken : rule_held);
}
