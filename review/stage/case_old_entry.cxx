/// The store comes back from a copy in which replicas stand with the version that they had before
/// they were started again.

#include <mutex>
#include <set>
#include <thread>

#include "stage.h"

namespace {

using namespace stage;

constexpr int last_event = 60;
constexpr milliseconds event_gap{100};
constexpr milliseconds stream_interval{25};
constexpr milliseconds deadline{12'000};
constexpr milliseconds store_away{400};
/// Streams of two versions that the rule allows.
constexpr int allowed = 2;

std::mutex lock;
int begun = 0;
int joined = 0;

void serve_stream(replica& one, connection& caller, const request& call) {
  const std::string resumed = call.field("Last-Event-Id");
  std::string version;
  std::shared_ptr<server> process;
  {
    const std::lock_guard<std::mutex> guard(one.lock);
    version = one.version;
    process = one.process;
  }
  note("run " + call.field("Attempt-Id") + " at " + one.id + " " + version +
       (resumed.empty() ? "" : " after event " + resumed));
  sleep_for(milliseconds{20});
  caller.send(success_head(call, one.id, -1));
  for (int number = resumed.empty() ? 1 : std::stoi(resumed) + 1; number <= last_event; ++number) {
    if (!caller.send(chunk("id: " + std::to_string(number) + "\ndata: " + version + "\n\n"))) {
      return;
    }
    sleep_for(event_gap);
  }
  caller.send("0\r\n\r\n");
}

void ask(const gateway& one, const std::string& attempt) {
  const auto link = connect_to(one.public_address);
  if (link == nullptr) {
    return;
  }
  link->send(
      "POST /pufi791/2f HTTP/1.1\r\nHost: " + std::string(host) + "\r\nAttempt-Id: " + attempt +
      "\r\nModel: m\r\nToken-Usage: 600,480\r\nPrefix-Hash: " + attempt + "a:300," + attempt +
      "b:100\r\nDeadline-Ms: 12000\r\nApi-Key: " + api_key + "\r\nContent-Length: 4\r\n\r\nchat");
  const answer found = read_answer(*link, clock::now() + deadline);
  std::set<std::string> versions;
  for (std::size_t at = found.body.find("data: "); at != std::string::npos;
       at = found.body.find("data: ", at + 1)) {
    versions.insert(found.body.substr(at + 6, 2));
  }
  note("answered " + attempt + " status " + std::to_string(found.status) + " " + found.end + ", " +
       std::to_string(events_of(found.body).size()) + " events of " +
       std::to_string(versions.size()) + " versions");
  const std::lock_guard<std::mutex> guard(lock);
  begun += versions.empty() ? 0 : 1;
  joined += versions.size() > 1 ? 1 : 0;
}

/// Starts a replica again under its id, with the next version.
void update(replica& one, store& rows) {
  end(one, rows);
  note(one.id + " has ended");
  sleep_for(milliseconds{300});
  {
    const std::lock_guard<std::mutex> guard(one.lock);
    one.version = "v2";
  }
  start(one, rows);
  note(one.id + " has started again with v2");
}

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  store rows;
  rows.put(
      "op", "config",
      configuration(
          7,
          R"({"name":"parent-chat","host":"ficu95.example","prefix":"/pufi791/","type":"stream",)"
          R"("timeout_ms":12000,"target_latency_ms":300,"priority":0,"service":"chestnut-llm",)"
          R"("max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,)"
          R"("gap_target_ms":250})",
          R"({"name":"chestnut-llm","health_check_path":"/healthz","max_connections":370,)"
          R"("warmup_s":0.0,"warmup_per_s":0.0,"engine":{"batch_slots":64,)"
          R"("kv_capacity_tokens":517068}})"));
  std::vector<replica> replicas(12);
  for (std::size_t place = 0; place < replicas.size(); ++place) {
    replica& one = replicas[place];
    one.id = "i-model-" + std::to_string(place + 1);
    one.service = "chestnut-llm";
    one.slots = 64;
    one.work = serve_stream;
    start(one, rows);
    sleep_for(milliseconds{90});
  }
  const std::vector<gateway> gateways{start_gateway("edge-bole-1", rows),
                                      start_gateway("edge-yeka-1", rows)};
  await_ready(gateways);
  sleep_for(milliseconds{2'000});
  std::atomic<bool> is_over{false};
  std::vector<std::thread> clients;
  std::thread traffic([&] {
    for (int number = 0; !is_over; ++number) {
      clients.emplace_back(ask, std::cref(gateways[static_cast<std::size_t>(number) % 2]),
                           "c" + std::to_string(number));
      sleep_for(stream_interval);
    }
  });
  sleep_for(milliseconds{6'000});
  rows.save_copy();
  note("the store's copy is made");
  // The release in place of half of the replicas, two every 1.2 s: each drains for 2.5 s, ends and
  // starts again.
  std::vector<std::thread> steps;
  for (std::size_t place = 0; place < 6; ++place) {
    steps.emplace_back([&rows, &one = replicas[place], place] {
      sleep_for(milliseconds{100 + 1'200 * static_cast<int>(place / 2)});
      drain(one, rows);
      note(one.id + " drains");
      sleep_for(milliseconds{2'550});
      update(one, rows);
    });
  }
  sleep_for(milliseconds{3'900});
  if (is_trouble()) {
    note("the store is away");
    rows.restore_copy(store_away);
    note("the store is back from its copy");
  }
  for (std::thread& step : steps) {
    step.join();
  }
  sleep_for(milliseconds{2'000});
  is_over = true;
  traffic.join();
  for (std::thread& client : clients) {
    client.join();
  }
  note(std::to_string(joined) + " of " + std::to_string(begun) +
       " streams hold events of two versions");
  if (begun < 50) {
    give_up("too few streams");
  }
  finish(joined > allowed ? rule_broken : rule_held);
}
