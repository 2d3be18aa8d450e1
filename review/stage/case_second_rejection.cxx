/// A replica's rejection arrives a second time, late, where the answer to the next request on the
/// connection is expected.

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include "stage.h"

namespace {

using namespace stage;

/// Settings of the service: each replica works on two requests and queues two more.
constexpr int slots = 2;
constexpr int places = 4;
constexpr milliseconds work_time{60};
/// One in so many answers of two of the four replicas comes a second time. The site file's largest
/// dose is a share of 0.03, at six tenths of the replicas.
constexpr int one_in = 34;
constexpr int client_count = 33;
constexpr milliseconds length{60'000};
/// Longest pause of a client between two requests. Replicas are full at times.
constexpr int longest_pause_ms = 250;

struct ledger {
  std::mutex lock;
  std::map<std::string, std::vector<std::string>> runs;
  std::map<std::string, int> statuses;
};

struct desk {
  std::atomic<int> taken{0};
  std::atomic<int> answers{0};
  std::atomic<int> extras{0};
  std::mutex slot_lock;
  int free_slots = slots;
};

ledger book;

/// Answers one request. Returns the bytes of the answer.
std::string work_on(desk& own, const replica& one, const request& call) {
  const std::string attempt = call.field("Attempt-Id");
  if (own.taken.fetch_add(1) >= places) {
    --own.taken;
    return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
  const clock::time_point until = deadline_of(call);
  while (true) {
    {
      const std::lock_guard<std::mutex> guard(own.slot_lock);
      if (own.free_slots > 0) {
        --own.free_slots;
        break;
      }
    }
    if (clock::now() >= until) {
      --own.taken;
      return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }
    sleep_for(milliseconds{1});
  }
  {
    const std::lock_guard<std::mutex> guard(book.lock);
    book.runs[attempt].push_back(one.id);
  }
  note("run " + attempt + " at " + one.id);
  sleep_for(work_time);
  {
    const std::lock_guard<std::mutex> guard(own.slot_lock);
    ++own.free_slots;
  }
  --own.taken;
  return success_head(call, one.id, static_cast<int>(attempt.size())) + attempt;
}

/// The late copy that each connection of the faulty replica still has to send.
thread_local std::string late_copy;

void serve_orders(desk& own, bool spoils, replica& one, connection& caller, const request& call) {
  if (!late_copy.empty()) {
    ++own.extras;
    note(one.id + " sends its answer before a second time, as " + call.field("Attempt-Id") +
         " has arrived");
    caller.send(late_copy);
    late_copy.clear();
  }
  const std::string bytes = work_on(own, one, call);
  if (spoils && ++own.answers % one_in == 0) {
    late_copy = bytes;
  }
  caller.send(bytes);
}

void run_client(int number, const std::string& address, clock::time_point until) {
  std::minstd_rand random(static_cast<unsigned>(number + 1));
  std::uniform_int_distribution<int> pause(0, longest_pause_ms);
  std::unique_ptr<connection> link;
  for (int count = 0; clock::now() < until; ++count) {
    if (link == nullptr && (link = connect_to(address)) == nullptr) {
      sleep_for(milliseconds{100});
      continue;
    }
    const std::string attempt = "pay-" + std::to_string(number) + "-" + std::to_string(count);
    const std::string body = "order " + attempt;
    note("sent " + attempt);
    const bool sent =
        link->send("POST /puxa403/2f HTTP/1.1\r\nHost: " + std::string(host) +
                   "\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 4000\r\nApi-Key: " + api_key +
                   "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const answer found = read_answer(*link, clock::now() + milliseconds{4'000});
    note("answered " + attempt + " " + std::to_string(found.status) + " " + found.end);
    {
      const std::lock_guard<std::mutex> guard(book.lock);
      book.statuses[attempt] = found.status;
    }
    if (!sent || !found.complete || found.field("Connection") == "close") {
      link.reset();
    }
    sleep_for(milliseconds{pause(random)});
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
          R"("max_attempts":1,"public":false,"session_affinity":false})",
          R"({"name":"kit-orders","health_check_path":"/healthz","max_connections":110,)"
          R"("warmup_s":0.0,"warmup_per_s":0.0})"));
  std::vector<desk> desks(4);
  std::vector<replica> replicas(4);
  for (std::size_t place = 0; place < replicas.size(); ++place) {
    replica& one = replicas[place];
    one.id = "i-order-" + std::to_string(place + 1);
    one.service = "kit-orders";
    one.slots = slots;
    const bool spoils = place < 2 && is_trouble();
    one.work = [&own = desks[place], spoils](replica& self, connection& caller,
                                             const request& call) {
      serve_orders(own, spoils, self, caller, call);
    };
    start(one, rows);
  }
  const std::vector<gateway> gateways{start_gateway("edge-bole-1", rows),
                                      start_gateway("edge-kirkos-1", rows),
                                      start_gateway("edge-yeka-1", rows)};
  await_ready(gateways);
  std::vector<std::thread> clients;
  const clock::time_point until = clock::now() + length;
  for (int number = 0; number < client_count; ++number) {
    const gateway& one = gateways[static_cast<std::size_t>(number) % gateways.size()];
    clients.emplace_back(run_client, number, one.public_address, until);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  sleep_for(milliseconds{300});
  const int extras = desks[0].extras + desks[1].extras;
  int twice = 0;
  int refused = 0;
  int served = 0;
  for (const auto& [attempt, places_run] : book.runs) {
    const int status = book.statuses[attempt];
    twice += places_run.size() > 1 ? 1 : 0;
    refused += status == 503 || status == 429 ? 1 : 0;
    if (places_run.size() > 1 || status == 503 || status == 429) {
      std::string where;
      for (const std::string& place : places_run) {
        where += " " + place;
      }
      note("broken: " + attempt + " was answered " + std::to_string(status) + " and has run at" +
           where);
    }
    served += status == 200 ? 1 : 0;
  }
  note(std::to_string(book.statuses.size()) + " requests sent, " + std::to_string(served) +
       " served, " + std::to_string(extras) + " late copies, " + std::to_string(twice) +
       " ran more than once, " + std::to_string(refused) + " were refused and have run");
  if (served < 100 || (is_trouble() && extras < 3)) {
    give_up("too few requests were served, or too few copies sent");
  }
  finish(twice > 0 ? rule_broken : rule_held);
}
