// Stops many gateway processes as planned while their callers keep connections and send without
// pause, and checks that no request ends without a complete answer.

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <getopt.h>
#include <unistd.h>

#include "Base/hashing.h"
#include "Base/process_clock.h"
#include "Fakes/scripted_endpoint.h"
#include "Soak/soak_caller.h"
#include "Soak/soak_gateway.h"
#include "Soak/soak_store.h"

namespace chestnuthead::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds step_time{1};
/// Time that the platform gives a process between SIGTERM and SIGKILL.
constexpr milliseconds grace{8'000};
/// A request that was sent no later than this after SIGTERM may be ended while an endpoint still
/// works on it, from `excused_from` after SIGTERM on.
constexpr milliseconds excused_sent_until{3'000};
constexpr milliseconds excused_from = grace * 5 / 6;
/// A connection that is closed this soon after its request was sent may have crossed it.
constexpr milliseconds crossing_slack{200};
constexpr milliseconds patience{12'000};
constexpr milliseconds event_gap{100};
/// Longest time from the end of the first connection to that of the process.
constexpr milliseconds longest_exit{1'000};
constexpr milliseconds restart_delay{300};
constexpr milliseconds reconnect_delay{50};
/// Interval in which the platform accounts a share of a processor.
constexpr milliseconds quota_interval{100};
constexpr milliseconds configuration_interval{2'500};
constexpr int engines = 6;
constexpr int plain_endpoints = 4;

struct run_options {
  std::string gateway_program;
  std::string folder;
  int gateways = 12;
  int callers_per_gateway = 3;
  /// How long each caller waits between an answer and its next request.
  milliseconds pause{0};
  milliseconds length{20'000};
  /// Milliseconds of processor time that a gateway gets in each quota interval; no limit if 0.
  int quota_ms = 0;
  /// Size of configurations that are written while gateways stop; none if 0.
  std::size_t configuration_bytes = 0;
  /// The gateways get SIGTERM one after the other instead of at once.
  bool in_turn = false;
  /// The gateways get SIGHUP all the while.
  bool reload = false;
  /// The store answers nothing from before the stops until their end.
  bool store_silent = false;
  std::uint64_t seed = 1;
};

/// The store and its proxies on a thread of their own, as large configurations take it long.
class store_thread {
 public:
  ~store_thread() {
    this->stop();
  }
  store_thread() = default;
  store_thread(const store_thread&) = delete;
  store_thread& operator=(const store_thread&) = delete;

  /// Makes a proxy to the store. Call it before `start`.
  std::unique_ptr<fault_proxy> make_proxy() {
    auto made = std::make_unique<fault_proxy>(this->loop, this->tasks, this->rows.address());
    this->proxies.push_back(made.get());
    return made;
  }
  void start() {
    this->worker = std::thread([this] { this->run(); });
  }
  void stop() {
    this->ended = true;
    if (this->worker.joinable()) {
      this->worker.join();
    }
  }
  /// Writes a row soon. The caller does not wait while the store formats its answers.
  void put(const std::string& table, const std::string& key, const std::string& value) {
    this->post([this, table, key, value] { this->rows.put(table, key, value); });
  }
  void set_silent(bool silent) {
    this->post([this, silent] {
      for (fault_proxy* proxy : this->proxies) {
        proxy->fault.drop_to_caller = silent;
        proxy->fault.drop_from_caller = silent;
      }
    });
  }

 private:
  void run() {
    while (!this->ended) {
      std::vector<std::function<void()>> due;
      {
        const std::lock_guard hold(this->guard);
        due.swap(this->posted);
      }
      for (const std::function<void()>& task : due) {
        task();
      }
      this->loop.run_once(step_time);
      this->tasks.run_due();
    }
  }
  void post(std::function<void()> task) {
    const std::lock_guard hold(this->guard);
    this->posted.push_back(std::move(task));
  }

  suspend_aware_clock time;
  traffic::event_loop loop;
  task_queue tasks{this->time};
  row_store rows{this->loop, this->tasks, this->time};
  std::vector<fault_proxy*> proxies;
  std::mutex guard;
  std::vector<std::function<void()>> posted;
  std::atomic<bool> ended = false;
  std::thread worker;
};

/// A gateway process and its callers.
struct gateway_slot {
  std::unique_ptr<soak_gateway> process;
  std::string address;
  /// When the process got SIGTERM, until it is started again.
  std::optional<steady_time> stopped_at;
  std::optional<steady_time> start_at;
  bool paused = false;
  /// End of the present quota interval, and the processor time used before it.
  steady_time interval_end{};
  milliseconds used_before{0};
  bool killed = false;
  std::vector<std::unique_ptr<soak_caller>> callers;
  std::vector<steady_time> next_sends;
  /// Requests that no endpoint got and that ended with their connection. The process has not read
  /// them if it ends in order now, as it answers what it has read.
  std::vector<std::pair<steady_time, std::string>> unread;
};

/// Processor time of a process; none if it has ended.
std::optional<milliseconds> processor_time(pid_t process) {
  clockid_t clock{};
  timespec used{};
  if (process <= 0 || ::clock_getcpuclockid(process, &clock) != 0 ||
      ::clock_gettime(clock, &used) != 0) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<milliseconds>(std::chrono::seconds{used.tv_sec} +
                                                  std::chrono::nanoseconds{used.tv_nsec});
}

struct run_counts {
  std::map<int, int> answers;
  int requests = 0;
  int stops = 0;
  int excused = 0;
  int crossed = 0;
  int refused = 0;
  int unread = 0;
  milliseconds longest_stop{0};
  milliseconds longest_answer{0};
  std::size_t peak_kilobytes = 0;
};

class stop_run {
 public:
  explicit stop_run(run_options chosen) : options(std::move(chosen)) {
    for (int number = 0; number < engines + plain_endpoints; ++number) {
      this->add_endpoint(number);
    }
    for (int number = 0; number < this->options.gateways; ++number) {
      gateway_slot made;
      made.process = std::make_unique<soak_gateway>("gateway-" + std::to_string(number),
                                                    this->options.gateway_program,
                                                    this->options.folder, this->store.make_proxy());
      made.address = this->write_settings(number, *made.process);
      made.callers.resize(static_cast<std::size_t>(this->options.callers_per_gateway));
      made.next_sends.resize(made.callers.size());
      this->slots.push_back(std::move(made));
    }
  }

  /// Returns the violations.
  std::vector<std::string> run() {
    this->write_configuration(0);
    this->store.start();
    for (gateway_slot& slot : this->slots) {
      slot.process->start();
    }
    this->run_until(this->time.now() + start_time);
    std::atomic<bool> ended = false;
    std::thread pacer([this, &ended] { this->pace(ended); });
    this->run_until(this->time.now() + settle_time);
    this->schedule();
    this->run_until(this->time.now() + this->options.length);
    this->is_over = true;
    this->run_until(this->time.now() + grace + settle_time);
    ended = true;
    pacer.join();
    this->store.stop();
    this->report();
    return this->violations;
  }

 private:
  /// Replaces the addresses in the settings by ones that no other process gets: a loopback address
  /// of its own for each gateway, with ports that the system does not assign. Returns the public
  /// one.
  std::string write_settings(int number, const soak_gateway& gateway) const {
    constexpr int part_range = 250;
    const std::string host = "127." + std::to_string(1 + ::getpid() % part_range) + "." +
                             std::to_string(number / part_range) + "." +
                             std::to_string(1 + number % part_range);
    std::ofstream file(this->options.folder + "/" + gateway.name + ".json");
    file << R"({"node":")" << gateway.name << R"(","failure_domain":"north","public_address":")"
         << host << R"(:7340","ready_address":")" << host << R"(:7341","peer_address":")" << host
         << R"(:7342","store_address":")" << gateway.store_proxy->address
         << R"(","memory_limit_mb":160,"descriptor_limit":4100})";
    return host + ":7340";
  }

  void add_endpoint(int number) {
    const bool engine = number < engines;
    const std::string name = (engine ? "engine-" : "plain-") + std::to_string(number);
    this->endpoints.push_back(std::make_unique<scripted_endpoint>(this->loop));
    scripted_endpoint& made = *this->endpoints.back();
    made.scripts = {[this, &made, name](scripted_endpoint::connection& caller) {
      this->serve(made, caller, name);
    }};
    this->store.put("servers", name,
                    std::string(R"({"service":")") + (engine ? "engines" : "orders") +
                        R"(","address":")" + made.address +
                        R"(","zone":"north","batch_slots":4096,"state":"ready",)" +
                        R"("warmup_remaining_ms":0,"born":1,"sequence":1})");
  }

  /// Streams take up to 5 s. Of the plain requests one in eight takes up to 6 s.
  void serve(scripted_endpoint& endpoint, scripted_endpoint::connection& caller,
             const std::string& name) {
    const traffic::http_head head = endpoint.requests.back().head;
    endpoint.requests.clear();
    const std::string* id = find_field(head, "Attempt-Id");
    if (id == nullptr) {
      caller.send("HTTP/1.1 200 OK\r\nInstance-Id: " + name + "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    this->finished[*id] = false;
    const std::string answer =
        "HTTP/1.1 200 OK\r\nAttempt-Id: " + *id + "\r\nResponse-Signature: s-" + *id + "\r\n";
    const std::uint64_t drawn = hash_text(*id);
    if (head.target.starts_with("/guide/") || head.target.starts_with("/chat/")) {
      constexpr std::uint64_t event_range = 50;
      caller.send(answer + "Transfer-Encoding: chunked\r\n\r\n");
      this->send_events(caller, *id, 2 + static_cast<int>(drawn % event_range));
      return;
    }
    constexpr std::uint64_t slow_share = 8;
    constexpr std::uint64_t slow_range = 5'000;
    const bool slow = drawn % slow_share == 0;
    const milliseconds work{slow ? 1'000 + drawn / slow_share % slow_range : 60};
    this->tasks.after(work, [this, &caller, answer, id = *id] {
      if (!caller.closed) {
        caller.send(answer + "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id);
        this->finished[id] = true;
      }
    });
  }

  void send_events(scripted_endpoint::connection& caller, const std::string& id, int left) {
    if (caller.closed) {
      return;
    }
    if (left == 0) {
      caller.send("0\r\n\r\n");
      this->finished[id] = true;
      return;
    }
    const std::string event = "id: " + std::to_string(1'000 - left) + "\ndata: " + id + "\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    caller.send(size.data() + event + "\r\n");
    this->tasks.after(event_gap,
                      [this, &caller, id, left] { this->send_events(caller, id, left - 1); });
  }

  void write_configuration(std::size_t bytes) {
    const auto route = [](const std::string& prefix, const std::string& pool,
                          const std::string& rest) {
      return R"({"name":")" + prefix + R"(","host":"soak.example","prefix":"/)" + prefix +
             R"(/","timeout_ms":)" + std::to_string(patience.count()) +
             R"(,"target_latency_ms":300,"service":")" + pool + R"(",)" + rest + "}";
    };
    const std::string lookup = R"("type":"safe","max_attempts":2)";
    std::string routes =
        route("chat", "engines", R"("type":"stream","stream_resume":true,"max_attempts":2)") + "," +
        route("guide", "engines", R"("type":"stream","max_attempts":1)") + "," +
        route("pay", "orders", R"("type":"unsafe","max_attempts":1)") + "," +
        route("look", "orders", lookup);
    std::string keys = R"("key-0")";
    if (bytes > 0) {
      // Half of the bytes are routes, the other half keys.
      constexpr std::size_t added_routes = 1'400;
      std::string filled = lookup + R"(,"description":")";
      filled.append(bytes / 2 / added_routes, 'x').append("\"");
      for (int number = 0; keys.size() < bytes / 2; ++number) {
        keys += R"(,"key-of-another-caller-)" + std::to_string(number) + "\"";
      }
      for (std::size_t number = 0; number < added_routes; ++number) {
        routes += "," + route("added-" + std::to_string(number), "orders", filled);
      }
    }
    const std::string rest = R"(","health_check_path":"/healthz","max_connections":3000})";
    this->store.put("op", "config",
                    R"({"version":)" + std::to_string(++this->version) + R"(,"routes":[)" + routes +
                        R"(],"services":[{"name":"orders)" + rest + R"(,{"name":"engines)" + rest +
                        R"(],"limits":{},"tenants":[{"name":"schools","api_keys":[)" + keys +
                        "]}]}");
  }

  void schedule() {
    if (this->options.store_silent) {
      this->store.set_silent(true);
    }
    if (this->options.configuration_bytes > 0) {
      this->write_large_configuration();
    }
    this->schedule_stops();
  }

  void write_large_configuration() {
    if (!this->is_over) {
      this->write_configuration(this->options.configuration_bytes);
      this->tasks.after(configuration_interval, [this] { this->write_large_configuration(); });
    }
  }

  /// Stops all gateways, and again once they have had time to start anew.
  void schedule_stops() {
    constexpr milliseconds round{14'000};
    const auto count = static_cast<std::int64_t>(this->slots.size());
    for (std::size_t at = 0; at < this->slots.size(); ++at) {
      const auto place = static_cast<std::int64_t>(at);
      const milliseconds delay =
          this->options.in_turn ? place * this->options.length / count : milliseconds{0};
      this->tasks.after(delay, [this, at] { this->stop_gateway(this->slots[at]); });
      if (this->options.reload) {
        this->tasks.after(delay / 2, [this, at] { this->signal(this->slots[at], SIGHUP); });
      }
    }
    if (!this->options.in_turn) {
      this->tasks.after(round, [this] {
        if (!this->is_over) {
          this->schedule_stops();
        }
      });
    }
  }

  void signal(gateway_slot& slot, int number) {
    const std::lock_guard hold(this->process_guard);
    slot.process->signal(number);
  }

  void stop_gateway(gateway_slot& slot) {
    if (slot.stopped_at || slot.start_at) {
      return;
    }
    ++this->counts.stops;
    slot.stopped_at = this->time.now();
    this->note_peak(slot);
    this->signal(slot, SIGTERM);
  }

  /// Notes ended processes, kills those that outlast the grace period and starts them anew.
  void watch(gateway_slot& slot) {
    const steady_time now = this->time.now();
    if (slot.start_at) {
      if (now >= *slot.start_at) {
        const std::lock_guard hold(this->process_guard);
        slot.start_at.reset();
        slot.stopped_at.reset();
        slot.paused = false;
        slot.interval_end = {};
        slot.killed = false;
        slot.process->start();
      }
      return;
    }
    bool running = false;
    {
      const std::lock_guard hold(this->process_guard);
      running = slot.process->is_running();
    }
    if (running && !slot.unread.empty() && now - slot.unread.front().first > longest_exit) {
      this->violate(slot.unread.front().second);
      slot.unread.erase(slot.unread.begin());
    }
    const auto elapsed = slot.stopped_at ? now - *slot.stopped_at : steady_time::duration{};
    if (running) {
      if (elapsed >= grace && !std::exchange(slot.killed, true)) {
        this->violate(slot.process->name + " was killed at the end of its grace period.");
        this->signal(slot, SIGKILL);
      }
      return;
    }
    const bool in_order = slot.stopped_at && slot.process->last_status == 0;
    for (const auto& [at, sentence] : std::exchange(slot.unread, {})) {
      this->note_unread(slot, sentence);
    }
    if (!in_order) {
      this->violate(slot.process->name + " ended with the wait status " +
                    std::to_string(slot.process->last_status) + ".");
    }
    this->counts.longest_stop =
        std::max(this->counts.longest_stop, std::chrono::duration_cast<milliseconds>(elapsed));
    slot.start_at = now + restart_delay;
  }

  /// Decides on a request that no endpoint got, once its gateway has ended.
  void note_unread(const gateway_slot& slot, const std::string& sentence) {
    if (slot.process->last_status == 0) {
      ++this->counts.unread;
    } else {
      this->violate(sentence);
    }
  }

  void note_peak(const gateway_slot& slot) {
    std::ifstream status("/proc/" + std::to_string(slot.process->process_id()) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) {
        const char* digits = line.c_str() + line.find_first_of("0123456789");
        this->counts.peak_kilobytes =
            std::max<std::size_t>(this->counts.peak_kilobytes, std::strtoull(digits, nullptr, 10));
      }
    }
  }

  /// Pauses a gateway that has used its quota until the present interval ends.
  void limit_processor_time(gateway_slot& slot, steady_time now) const {
    const std::optional<milliseconds> used = processor_time(slot.process->process_id());
    if (!used) {
      return;
    }
    if (now >= slot.interval_end) {
      slot.interval_end = now + quota_interval;
      slot.used_before = *used;
    }
    const bool paused = *used - slot.used_before >= milliseconds{this->options.quota_ms};
    if (paused != slot.paused) {
      slot.paused = paused;
      slot.process->signal(paused ? SIGSTOP : SIGCONT);
    }
  }

  /// Gives each gateway no more than its quota.
  void pace(const std::atomic<bool>& ended) {
    const process_clock pacer_time;
    while (!ended && this->options.quota_ms > 0) {
      {
        const std::lock_guard hold(this->process_guard);
        const steady_time now = pacer_time.now();
        for (gateway_slot& slot : this->slots) {
          this->limit_processor_time(slot, now);
        }
      }
      std::this_thread::sleep_for(step_time / 2);
    }
  }

  void keep_callers_busy(gateway_slot& slot) {
    const steady_time now = this->time.now();
    for (std::size_t at = 0; at < slot.callers.size(); ++at) {
      std::unique_ptr<soak_caller>& caller = slot.callers[at];
      if (caller != nullptr && caller->is_closed()) {
        this->loop.dispose(std::exchange(caller, nullptr));
        slot.next_sends[at] = now + reconnect_delay;
      }
      if (now < slot.next_sends[at]) {
        continue;
      }
      if (caller == nullptr) {
        caller = std::make_unique<soak_caller>(
            this->loop, this->time, slot.process->name, slot.address,
            [this, &slot, at](const soak_request& result) { this->judge(slot, at, result); });
        // The connection is open before the first request is sent on it.
        slot.next_sends[at] = now + 10 * step_time;
      } else if (caller->can_send()) {
        soak_request request;
        request.id = std::to_string(this->options.seed) + "-" + std::to_string(++this->sent);
        request.kind = static_cast<request_kind>(hash_text(request.id, 1) % 4);
        request.key = "key-0";
        request.time_left = patience;
        caller->send_request(std::move(request));
      }
    }
  }

  void judge(gateway_slot& slot, std::size_t at, const soak_request& result) {
    slot.next_sends[at] = result.ended_at + this->options.pause;
    if (result.refused) {
      ++this->counts.refused;
      return;
    }
    ++this->counts.requests;
    const auto lasted = std::chrono::duration_cast<milliseconds>(result.ended_at - result.sent_at);
    if (result.complete) {
      ++this->counts.answers[result.status];
      this->counts.longest_answer = std::max(this->counts.longest_answer, lasted);
      return;
    }
    const auto run = this->finished.find(result.id);
    const bool passed_on = run != this->finished.end();
    const bool at_work = passed_on && !run->second;
    if (at_work && slot.stopped_at && result.ended_at - *slot.stopped_at >= excused_from &&
        result.sent_at - *slot.stopped_at <= excused_sent_until) {
      ++this->counts.excused;
      return;
    }
    if (!passed_on && lasted <= crossing_slack) {
      ++this->counts.crossed;
      return;
    }
    const auto since_stop = [&slot](steady_time when) {
      return slot.stopped_at
                 ? std::to_string(
                       std::chrono::duration_cast<milliseconds>(when - *slot.stopped_at).count())
                 : std::string("-");
    };
    this->violate(
        "request " + result.id + " (kind " + std::to_string(static_cast<int>(result.kind)) +
        ") at " + slot.process->name + ": sent at " + since_stop(result.sent_at) + ", ended at " +
        since_stop(result.ended_at) + " ms after SIGTERM, status " + std::to_string(result.status) +
        ", " +
        (passed_on ? at_work ? "endpoint at work" : "endpoint had finished" : "not passed on") +
        ".");
  }

  void violate(const std::string& sentence) {
    this->violations.push_back(sentence);
  }

  void run_until(steady_time end) {
    while (this->time.now() < end) {
      this->loop.run_once(step_time);
      this->tasks.run_due();
      for (gateway_slot& slot : this->slots) {
        this->watch(slot);
        this->keep_callers_busy(slot);
      }
    }
  }

  void report() const {
    std::cout << "requests " << this->counts.requests << ", answers";
    for (const auto& [status, count] : this->counts.answers) {
      std::cout << " " << status << ": " << count;
    }
    std::cout << ", excused " << this->counts.excused << ", crossed a close "
              << this->counts.crossed << ", unread " << this->counts.unread << ", not connected "
              << this->counts.refused << ", stops " << this->counts.stops << ", longest stop "
              << this->counts.longest_stop.count() << " ms, longest answer "
              << this->counts.longest_answer.count() << " ms, peak " << this->counts.peak_kilobytes
              << " kB, violations " << this->violations.size() << std::endl;
  }

  static constexpr milliseconds start_time{3'000};
  static constexpr milliseconds settle_time{2'000};

  run_options options;
  suspend_aware_clock time;
  traffic::event_loop loop;
  task_queue tasks{this->time};
  store_thread store;
  std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
  /// Whether the endpoint has sent its whole answer, by request.
  std::map<std::string, bool> finished;
  std::vector<gateway_slot> slots;
  /// Guards the processes and whether they are paused.
  std::mutex process_guard;
  std::uint64_t version = 0;
  std::uint64_t sent = 0;
  bool is_over = false;
  run_counts counts;
  std::vector<std::string> violations;
};

constexpr std::array<option, 13> long_options{{
    {"seed", required_argument, nullptr, 's'},
    {"length", required_argument, nullptr, 'l'},
    {"gateway", required_argument, nullptr, 'g'},
    {"folder", required_argument, nullptr, 'f'},
    {"gateways", required_argument, nullptr, 'c'},
    {"callers", required_argument, nullptr, 'n'},
    {"pause", required_argument, nullptr, 'p'},
    {"quota-ms", required_argument, nullptr, 'q'},
    {"configuration-bytes", required_argument, nullptr, 'b'},
    {"in-turn", no_argument, nullptr, 't'},
    {"reload", no_argument, nullptr, 'r'},
    {"store-silent", no_argument, nullptr, 'm'},
    {nullptr, 0, nullptr, 0},
}};

/// Applies one option. Returns false if it is unknown.
bool read_option(int code, run_options& options) {
  switch (code) {
    case 's':
      options.seed = std::strtoull(optarg, nullptr, 10);
      return true;
    case 'l':
      options.length = std::chrono::seconds{std::atoi(optarg)};
      return true;
    case 'g':
      options.gateway_program = optarg;
      return true;
    case 'f':
      options.folder = optarg;
      return true;
    case 'c':
      options.gateways = std::atoi(optarg);
      return true;
    case 'n':
      options.callers_per_gateway = std::atoi(optarg);
      return true;
    case 'p':
      options.pause = milliseconds{std::atoi(optarg)};
      return true;
    case 'q':
      options.quota_ms = std::atoi(optarg);
      return true;
    case 'b':
      options.configuration_bytes = std::strtoull(optarg, nullptr, 10);
      return true;
    case 't':
      options.in_turn = true;
      return true;
    case 'r':
      options.reload = true;
      return true;
    case 'm':
      options.store_silent = true;
      return true;
    default:
      return false;
  }
}

}  // namespace

}  // namespace chestnuthead::soak

int main(int argc, char** argv) {
  using namespace chestnuthead::soak;
  std::signal(SIGPIPE, SIG_IGN);
  run_options options;
  options.gateway_program = "build/bin/chestnut-gateway";
  options.folder = "/tmp/chestnut-stops";
  for (int code = getopt_long(argc, argv, "", long_options.data(), nullptr); code != -1;
       code = getopt_long(argc, argv, "", long_options.data(), nullptr)) {
    if (!read_option(code, options)) {
      std::cerr << "usage: planned_stops [--seed N] [--length SECONDS] [--gateway PROGRAM] "
                   "[--folder FOLDER] [--gateways COUNT] [--callers COUNT] [--pause MS] "
                   "[--quota-ms MS] [--configuration-bytes COUNT] [--in-turn] [--reload] "
                   "[--store-silent]\n";
      return 2;
    }
  }
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  stop_run run(options);
  const std::vector<std::string> violations = run.run();
  constexpr std::size_t printed = 20;
  for (std::size_t at = 0; at < std::min(printed, violations.size()); ++at) {
    std::cout << "  " << violations[at] << std::endl;
  }
  return violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
