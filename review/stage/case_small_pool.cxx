/// Prompts with a part that crashes replicas come to a service of two replicas.

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "stage.h"

namespace {

using namespace stage;

constexpr milliseconds contact{3'000};
constexpr milliseconds down{2'500};
constexpr milliseconds calm{6'000};
constexpr milliseconds troubled{30'000};
constexpr milliseconds sound_interval{50};
constexpr milliseconds crashing_interval{400};
constexpr int last_event = 12;
/// Crashes after which the rules bind.
constexpr std::size_t crashes_counted = 5;
/// Sound requests that the rule needs of each span.
constexpr int fewest = 20;

std::mutex lock;
std::set<std::string> begun;
std::vector<std::int64_t> crash_times;
std::vector<std::int64_t> crashing_arrivals;
std::map<std::string, std::int64_t> sound_sent;
store* all_rows = nullptr;

void crash_and_return(replica& one) {
  crash(one);
  {
    const std::lock_guard<std::mutex> guard(lock);
    crash_times.push_back(now_ms());
  }
  note(one.id + " has crashed");
  sleep_for(down);
  start(one, *all_rows);
  note(one.id + " is back");
}

void serve_stream(replica& one, connection& caller, const request& call) {
  const std::string attempt = call.field("Attempt-Id");
  const bool crashing = call.field("Prefix-Hash").find(",bad:") != std::string::npos;
  note("run " + attempt + " at " + one.id);
  const std::shared_ptr<server> process = one.process;
  {
    const std::lock_guard<std::mutex> guard(lock);
    begun.insert(attempt);
    if (crashing) {
      crashing_arrivals.push_back(now_ms());
    }
  }
  sleep_for(milliseconds{20});
  caller.send(success_head(call, one.id, -1));
  for (int number = 1; number <= last_event; ++number) {
    if (!caller.send(chunk("id: " + std::to_string(number) + "\ndata: an answer\n\n"))) {
      return;
    }
    if (crashing) {
      bool is_first = false;
      {
        const std::lock_guard<std::mutex> guard(process->lock);
        is_first = !process->is_crashing;
        process->is_crashing = true;
      }
      if (is_first) {
        std::thread(crash_and_return, std::ref(one)).detach();
      }
      return;
    }
    sleep_for(milliseconds{20});
  }
  caller.send("0\r\n\r\n");
}

void ask(const std::string& address, const std::string& attempt, bool crashing) {
  const auto link = connect_to(address);
  if (link == nullptr) {
    return;
  }
  link->send(
      "POST /lohu930/2f HTTP/1.1\r\nHost: " + std::string(host) + "\r\nAttempt-Id: " + attempt +
      "\r\nModel: m\r\nToken-Usage: 460,96\r\nPrefix-Hash: 5c1e07a2:200," +
      (crashing ? "bad:160," : "91bd3f06:160,") + attempt +
      ":100\r\nDeadline-Ms: 2500\r\nApi-Key: " + api_key + "\r\nContent-Length: 4\r\n\r\nwhat");
  const answer found = read_answer(*link, clock::now() + milliseconds{2'500});
  note("answered " + attempt + " status " + std::to_string(found.status) + " " + found.end);
}

/// The share of the sound requests sent in this span that a replica began to run.
double share_begun(std::int64_t from, std::int64_t until, int& sent) {
  int count = 0;
  sent = 0;
  for (const auto& [attempt, at] : sound_sent) {
    if (at >= from && at < until) {
      ++sent;
      count += begun.count(attempt) != 0 ? 1 : 0;
    }
  }
  return sent == 0 ? 0.0 : static_cast<double>(count) / sent;
}

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  store rows;
  all_rows = &rows;
  rows.put(
      "op", "config",
      configuration(
          7,
          R"({"name":"stock-check","host":"ficu95.example","prefix":"/lohu930/","type":"stream",)"
          R"("timeout_ms":2500,"target_latency_ms":300,"priority":2,"service":"chestnut-llm",)"
          R"("max_attempts":1,"public":false,"session_affinity":true,"stream_resume":false,)"
          R"("gap_target_ms":250})",
          R"({"name":"chestnut-llm","health_check_path":"/healthz","max_connections":370,)"
          R"("warmup_s":0.0,"warmup_per_s":0.0,"engine":{"batch_slots":64,)"
          R"("kv_capacity_tokens":517068}})"));
  std::vector<replica> replicas(2);
  for (std::size_t place = 0; place < replicas.size(); ++place) {
    replica& one = replicas[place];
    one.id = "i-model-" + std::to_string(place + 1);
    one.service = "chestnut-llm";
    one.slots = 64;
    one.work = serve_stream;
    start(one, rows);
  }
  const std::vector<gateway> gateways{start_gateway("edge-bole-1", rows),
                                      start_gateway("edge-yeka-1", rows)};
  await_ready(gateways);
  sleep_for(milliseconds{1'000});
  const std::int64_t calm_from = now_ms();
  std::thread sound([&] {
    for (int number = 0; now_ms() < calm_from + (calm + troubled).count(); ++number) {
      const std::string attempt = "5a" + std::to_string(number);
      {
        const std::lock_guard<std::mutex> guard(lock);
        sound_sent[attempt] = now_ms();
      }
      std::thread(ask, gateways[static_cast<std::size_t>(number) % 2].public_address, attempt,
                  false)
          .detach();
      sleep_for(sound_interval);
    }
  });
  sleep_for(calm);
  const std::int64_t calm_until = now_ms();
  for (int number = 0; is_trouble() && now_ms() < calm_until + troubled.count(); ++number) {
    std::thread(ask, gateways[static_cast<std::size_t>(number / 2) % 2].public_address,
                "bad" + std::to_string(number), true)
        .detach();
    sleep_for(crashing_interval);
  }
  sound.join();
  sleep_for(milliseconds{2'600});
  const std::lock_guard<std::mutex> guard(lock);
  std::sort(crash_times.begin(), crash_times.end());
  note(std::to_string(crash_times.size()) + " crashes");
  int sent_before = 0;
  int sent_after = 0;
  const double before = share_begun(calm_from, calm_until, sent_before);
  if (!is_trouble()) {
    const double later = share_begun(calm_until, calm_until + troubled.count(), sent_after);
    finish(2 * later < before ? rule_broken : rule_held);
  }
  if (crash_times.size() < crashes_counted) {
    note("fewer crashes than the rules count");
    finish(rule_held);
  }
  const std::int64_t fifth = crash_times[crashes_counted - 1];
  const auto late = std::count_if(crashing_arrivals.begin(), crashing_arrivals.end(),
                                  [fifth](auto at) { return at > fifth + contact.count(); });
  const double after =
      share_begun(fifth + 2 * contact.count(), calm_until + troubled.count(), sent_after);
  note("sound requests that began at the first attempt: " + std::to_string(before) + " of " +
       std::to_string(sent_before) + " before, " + std::to_string(after) + " of " +
       std::to_string(sent_after) + " from 6 s after the fifth crash on; " + std::to_string(late) +
       " requests with the part arrived later than 3 s after it");
  if (sent_before < fewest || sent_after < fewest) {
    give_up("too few sound requests");
  }
  finish(2 * after < before ? rule_broken : rule_held);
}
