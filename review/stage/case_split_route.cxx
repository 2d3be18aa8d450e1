/// Streams of a route that is split over four services are taken up again at other gateways.

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

#include "stage.h"

namespace {

using namespace stage;

constexpr int last_event = 30;
constexpr milliseconds event_gap{100};
constexpr int stream_count = 60;
constexpr milliseconds deadline{10'000};

struct stream {
  std::string attempt;
  /// Events that the client has received, and the versions that made them.
  int events = 0;
  std::string body;
  bool complete = false;
  int status = 0;
};

std::mutex lock;

void serve_stream(replica& one, connection& caller, const request& call) {
  const std::string resumed = call.field("Last-Event-Id");
  note("run " + call.field("Attempt-Id") + " at " + one.id + " of " + one.service + " " +
       one.version + (resumed.empty() ? "" : " after event " + resumed));
  sleep_for(milliseconds{20});
  caller.send(success_head(call, one.id, -1));
  for (int number = resumed.empty() ? 1 : std::stoi(resumed) + 1; number <= last_event; ++number) {
    if (!caller.send(chunk("id: " + std::to_string(number) + "\ndata: " + one.version + "\n\n"))) {
      return;
    }
    sleep_for(event_gap);
  }
  caller.send("0\r\n\r\n");
}

stream ask(const gateway& one, const std::string& attempt, const std::string& fields) {
  stream found;
  found.attempt = attempt;
  const auto link = connect_to(one.public_address);
  if (link == nullptr) {
    return found;
  }
  const std::string body = "chat";
  link->send("POST /pufi791/2f HTTP/1.1\r\nHost: " + std::string(host) +
             "\r\nAttempt-Id: " + attempt +
             "\r\nModel: m\r\nToken-Usage: 600,240\r\nPrefix-Hash: "
             "5c1e07a2:300,91bd3f06:200," +
             attempt + ":100\r\nDeadline-Ms: 10000\r\nApi-Key: " + api_key + "\r\n" + fields +
             "Content-Length: 4\r\n\r\n" + body);
  const answer got = read_answer(*link, clock::now() + deadline);
  found.body = got.body;
  found.complete = got.complete;
  found.status = got.status;
  const std::vector<int> numbers = events_of(got.body);
  found.events = numbers.empty() ? 0 : numbers.back();
  note("answered " + attempt + " status " + std::to_string(got.status) + " " + got.end +
       ", events up to " + std::to_string(found.events));
  return found;
}

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  store rows;
  std::string services;
  std::vector<replica> replicas(16);
  for (std::size_t place = 0; place < replicas.size(); ++place) {
    replica& one = replicas[place];
    one.id = "i-model-" + std::to_string(place);
    one.service = "model-" + std::to_string(place / 4);
    one.version = "v" + std::to_string(place / 2);
    one.slots = 64;
    one.work = serve_stream;
    if (place % 4 == 0) {
      services += (services.empty() ? "" : ",") + (R"({"name":")" + one.service) +
                  R"(","health_check_path":"/healthz","max_connections":370,"warmup_s":0.0,)"
                  R"("warmup_per_s":0.0,"engine":{"batch_slots":64,"kv_capacity_tokens":517068}})";
    }
  }
  rows.put(
      "op", "config",
      configuration(
          7,
          R"({"name":"parent-chat","host":"ficu95.example","prefix":"/pufi791/","type":"stream",)"
          R"("timeout_ms":10000,"target_latency_ms":300,"priority":0,"backends":[)"
          R"({"service":"model-0","weight":25},{"service":"model-1","weight":25},)"
          R"({"service":"model-2","weight":25},{"service":"model-3","weight":25}],"max_attempts":2,"public":false,)"
          R"("session_affinity":true,"stream_resume":true,"gap_target_ms":250})",
          services));
  for (replica& one : replicas) {
    start(one, rows);
  }
  std::vector<gateway> gateways;
  for (const char* name :
       {"edge-bole-1", "edge-bole-2", "edge-kirkos-1", "edge-yeka-1", "edge-arada-1"}) {
    gateways.push_back(start_gateway(name, rows));
  }
  await_ready(gateways);
  sleep_for(milliseconds{3'000});
  std::vector<stream> first(stream_count);
  std::vector<std::thread> clients;
  for (int number = 0; number < stream_count; ++number) {
    clients.emplace_back([&first, &gateways, number] {
      first[static_cast<std::size_t>(number)] =
          ask(gateways[0], "chat-" + std::to_string(number), {});
    });
    sleep_for(milliseconds{10});
  }
  // All streams began at least a second ago, and last another second.
  sleep_for(milliseconds{1'300});
  if (is_trouble()) {
    note("gateway edge-bole-1 is killed");
    ::kill(gateways[0].process, SIGKILL);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  clients.clear();
  std::vector<stream> again(stream_count);
  std::vector<stream> fresh(stream_count);
  for (int number = 0; number < stream_count; ++number) {
    const auto place = static_cast<std::size_t>(number);
    if (!first[place].complete && first[place].events > 0) {
      clients.emplace_back([&, place] {
        again[place] = ask(gateways[1 + place % 4], "again-" + std::to_string(place),
                           "Last-Event-Id: " + std::to_string(first[place].events) +
                               "\r\nResumes: " + first[place].attempt + "\r\n");
      });
    }
    clients.emplace_back([&, place] {
      fresh[place] = ask(gateways[1 + place % 4], "new-" + std::to_string(place), {});
    });
    sleep_for(milliseconds{10});
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int taken_up = 0;
  int gone_on = 0;
  int begun = 0;
  for (std::size_t place = 0; place < again.size(); ++place) {
    taken_up += again[place].attempt.empty() ? 0 : 1;
    gone_on += again[place].events > first[place].events ? 1 : 0;
    begun += fresh[place].events > 0 ? 1 : 0;
  }
  note(std::to_string(gone_on) + " of " + std::to_string(taken_up) +
       " streams that were taken up went on; " + std::to_string(begun) + " of " +
       std::to_string(stream_count) + " new streams began");
  if (begun < stream_count / 2 || (is_trouble() && taken_up < 12)) {
    give_up("too few streams");
  }
  const double share = taken_up == 0 ? 1.0 : static_cast<double>(gone_on) / taken_up;
  const bool broken = taken_up >= 12 && share < 0.5 * begun / stream_count;
  finish(broken ? rule_broken : rule_held);
}
