// Starts the gateway as a process, exposes it to callers that exhaust memory or descriptors and
// checks that it stays within the limits of its VM and still answers an ordinary request.

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Base/process_clock.h"
#include "Fakes/scripted_endpoint.h"
#include "Soak/soak_caller.h"
#include "Soak/soak_endpoint.h"
#include "Soak/soak_gateway.h"
#include "Soak/soak_store.h"

namespace chestnuthead::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds step_time{5};
/// Longest time that the hostile callers get to send what they have.
constexpr milliseconds attack_time{6'000};
/// Time for the gateway to process what was sent before its memory is read.
constexpr milliseconds settle_time{3'000};
/// Far longer than an ordinary request takes, retries included.
constexpr milliseconds service_time{5'000};
constexpr std::size_t large_chunk = 65'536;
/// Bounds of the peak resident memory in kB: 0.75 of 160 MB and of 64 MB.
constexpr std::size_t vm_bound = 122'880;
constexpr std::size_t small_bound = 49'152;

/// One kind of hostile caller with the limits of the gateway that it meets.
struct attack {
  std::string name;
  int callers = 0;
  int memory_limit_mb = 0;
  int descriptor_limit = 0;
  std::size_t max_body_bytes = 0;
  /// Bounds that the gateway must keep.
  std::size_t peak_kilobytes = 0;
  std::size_t descriptors = 0;
  /// First bytes of each caller after the headers that all have, and what it sends then how often.
  std::string head;
  std::string unit;
  int units = 0;
  /// The callers read what the gateway sends.
  bool reads = true;
};

std::string chunks(std::size_t bytes, std::size_t count) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
  const std::string chunk = size.data() + std::string(bytes, 'x') + "\r\n";
  std::string all;
  for (std::size_t number = 0; number < count; ++number) {
    all += chunk;
  }
  return all;
}

std::vector<attack> attacks() {
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string prompt = "Token-Usage: 100,20\r\nPrefix-Hash: a:50\r\n";
  constexpr std::size_t megabyte = 1'048'576;
  return {
      {"unfinished_bodies", 60, 160, 4'096, 4 * megabyte, vm_bound, 4'096, chunked,
       chunks(large_chunk, 1), 63, true},
      {"unfinished_byte_chunks", 80, 64, 4'096, megabyte, small_bound, 4'096, chunked,
       chunks(1, 4'096), 255, true},
      {"declared_over_limit", 100, 64, 4'096, megabyte, small_bound, 4'096,
       "Content-Length: 67108864\r\n\r\n", std::string(large_chunk, 'x'), 64, true},
      {"sent_over_limit", 100, 64, 4'096, megabyte, small_bound, 4'096, chunked,
       chunks(large_chunk, 1), 64, true},
      {"unread_streams",
       300,
       64,
       4'096,
       megabyte,
       small_bound,
       4'096,
       prompt + "Content-Length: 0\r\n\r\n",
       {},
       0,
       false},
      {"idle_connections", 600, 64, 256, megabyte, small_bound, 256,
       "X-Unfinished: ", std::string(1'024, 'x'), 8, true},
  };
}

class hostile_caller : public traffic::link_listener {
 public:
  hostile_caller(traffic::event_loop& loop, const std::string& address, const attack& wanted,
                 const std::string& first)
      : link(loop, address, *this), unit(wanted.unit), left(first.empty() ? 0 : wanted.units) {
    this->link.send(first);
    this->reads = wanted.reads;
  }

  void send_more() {
    for (; this->left > 0 && !this->ended && this->link.is_open() && this->link.unsent() == 0;
         --this->left) {
      this->link.send(this->unit);
    }
  }
  [[nodiscard]] bool has_finished() const {
    return this->ended || (this->left == 0 && this->link.is_open() && this->link.unsent() == 0);
  }

  void on_open() override {
    this->link.pause(!this->reads);
  }
  void on_bytes(std::string_view /*bytes*/) override {}
  void on_end(traffic::link_end /*end*/) override {
    this->ended = true;
  }

 private:
  traffic::tcp_link link;
  const std::string& unit;
  int left;
  bool reads = true;
  bool ended = false;
};

/// The gateway, the store, two endpoints and the callers of one attack.
class attack_run {
 public:
  attack_run(attack chosen, const std::string& program, const std::string& folder)
      : wanted(std::move(chosen)),
        store(this->loop, this->tasks, this->time),
        plain(this->loop, this->tasks, this->time, this->executions, "plain", 1),
        streams(this->loop),
        gateway("gateway", program, folder,
                std::make_unique<fault_proxy>(this->loop, this->tasks, this->store.address()),
                R"(,"memory_limit_mb":)" + std::to_string(this->wanted.memory_limit_mb) +
                    R"(,"descriptor_limit":)" + std::to_string(this->wanted.descriptor_limit)) {
    this->streams.scripts = {
        [this](scripted_endpoint::connection& caller) { this->send_stream(caller); }};
    this->write_rows();
  }

  /// Returns the violations.
  std::vector<std::string> run() {
    this->gateway.start();
    if (!this->serves_request()) {
      return {"The gateway did not answer before the attack."};
    }
    this->expose();
    std::vector<std::string> faults;
    const bool served = this->serves_request();
    this->sample();
    std::cout << this->wanted.name << ": peak " << this->peak << " kB of "
              << this->wanted.peak_kilobytes << " kB, " << this->descriptors << " descriptors of "
              << this->wanted.descriptors << ", ordinary request "
              << (served ? "answered" : "not answered") << std::endl;
    if (!this->gateway.is_running()) {
      faults.emplace_back("The gateway has ended.");
    }
    if (this->peak == 0 || this->peak > this->wanted.peak_kilobytes) {
      faults.emplace_back("Its peak resident memory is over the bound.");
    }
    if (this->descriptors > this->wanted.descriptors) {
      faults.emplace_back("Its open descriptors are over the bound.");
    }
    if (!served) {
      faults.emplace_back("The ordinary request was not answered.");
    }
    return faults;
  }

 private:
  void write_rows() {
    const auto route = [](const std::string& prefix, const std::string& pool,
                          const std::string& type) {
      return R"({"name":")" + prefix + R"(","host":"soak.example","prefix":"/)" + prefix +
             R"(/","timeout_ms":20000,"target_latency_ms":300,"service":")" + pool +
             R"(","type":")" + type + R"(","max_attempts":1})";
    };
    const std::string rest = R"(","health_check_path":"/healthz","max_connections":3000})";
    this->store.put("op", "config",
                    R"({"version":1,"routes":[)" + route("pay", "orders", "unsafe") + "," +
                        route("guide", "engines", "stream") + R"(],"services":[{"name":"orders)" +
                        rest + R"(,{"name":"engines)" + rest + R"(],"limits":{"max_body_bytes":)" +
                        std::to_string(this->wanted.max_body_bytes) +
                        R"(},"tenants":[{"name":"schools","api_keys":["key-0"]}]})");
    const auto list = [this](const std::string& name, const std::string& pool,
                             const std::string& address) {
      this->store.put("servers", name,
                      R"({"service":")" + pool + R"(","address":")" + address +
                          R"(","zone":"north","batch_slots":4096,"state":"ready",)" +
                          R"("warmup_remaining_ms":0,"born":1,"sequence":1})");
    };
    list("plain", "orders", this->plain.proxy().address);
    list("engine", "engines", this->streams.address);
  }

  /// Begins a stream without end.
  void send_stream(scripted_endpoint::connection& caller) {
    const std::string* id = find_field(this->streams.requests.back().head, "Attempt-Id");
    if (id == nullptr) {
      caller.send("HTTP/1.1 200 OK\r\nInstance-Id: engine\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    caller.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + *id + "\r\nResponse-Signature: s-" + *id +
                "\r\nTransfer-Encoding: chunked\r\n\r\n");
    this->events_sent[&caller] = 0;
  }

  /// Goes on with the streams as far as the gateway reads them.
  void send_events() {
    for (auto& [caller, number] : this->events_sent) {
      while (!caller->closed && caller->unsent() == 0) {
        std::string event = "id: " + std::to_string(++number) + "\ndata: ";
        event.append(large_chunk, 'x').append("\n\n");
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
        caller->send(size.data());
        caller->send(event);
        caller->send("\r\n");
      }
    }
  }

  void run_step() {
    this->loop.run_once(step_time);
    this->tasks.run_due();
    this->send_events();
    for (const auto& caller : this->callers) {
      caller->send_more();
    }
    if (this->time.now() >= this->next_sample) {
      this->next_sample = this->time.now() + 10 * step_time;
      this->sample();
    }
  }

  void run_for(milliseconds length) {
    const steady_time end = this->time.now() + length;
    while (this->time.now() < end) {
      this->run_step();
    }
  }

  /// Lets the hostile callers connect and send all that they have.
  void expose() {
    const std::string common =
        "Host: soak.example\r\nApi-Key: key-0\r\nDeadline-Ms: 20000\r\nAttempt-Id: h";
    const std::string target = this->wanted.reads ? "/pay/1" : "/guide/1";
    for (int number = 0; number < this->wanted.callers; ++number) {
      // Half of the idle connections send nothing at all.
      const bool silent = this->wanted.name == "idle_connections" && number % 2 == 0;
      std::string first = "POST " + target + " HTTP/1.1\r\n";
      first.append(common).append(std::to_string(number)).append("\r\n");
      first.append(this->wanted.head);
      this->callers.push_back(std::make_unique<hostile_caller>(
          this->loop, this->gateway.public_address, this->wanted, silent ? "" : first));
      this->run_step();
    }
    const steady_time end = this->time.now() + attack_time;
    while (this->time.now() < end &&
           !std::all_of(this->callers.begin(), this->callers.end(),
                        [](const auto& caller) { return caller->has_finished(); })) {
      this->run_step();
    }
    this->run_for(settle_time);
  }

  /// Sends one ordinary request, again after a refusal, until it is answered.
  bool serves_request() {
    bool served = false;
    bool ended = true;
    std::unique_ptr<soak_caller> caller;
    const steady_time end = this->time.now() + service_time;
    while (!served && this->time.now() < end) {
      if (ended) {
        this->run_for(10 * step_time);
        ended = false;
        caller = std::make_unique<soak_caller>(this->loop, this->time, "gateway",
                                               this->gateway.public_address,
                                               [&served, &ended](const soak_request& result) {
                                                 served = result.complete && result.status == 200;
                                                 ended = true;
                                               });
        soak_request request;
        request.id = "ordinary-" + std::to_string(++this->requests);
        request.kind = request_kind::payment;
        request.key = "key-0";
        caller->send_request(std::move(request));
      }
      this->run_step();
    }
    return served;
  }

  /// Reads the gateway's memory and descriptors.
  void sample() {
    const std::string folder = "/proc/" + std::to_string(this->gateway.process_id());
    std::ifstream status(folder + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) {
        this->peak = std::strtoull(line.c_str() + line.find_first_of("0123456789"), nullptr, 10);
      }
    }
    std::error_code error;
    const std::filesystem::directory_iterator files(folder + "/fd", error);
    const auto count = std::distance(begin(files), end(files));
    this->descriptors = std::max(this->descriptors, static_cast<std::size_t>(count));
  }

  const attack wanted;
  suspend_aware_clock time;
  traffic::event_loop loop;
  task_queue tasks{this->time};
  execution_log executions;
  row_store store;
  soak_endpoint plain;
  scripted_endpoint streams;
  /// Number of the last event of each stream.
  std::map<scripted_endpoint::connection*, int> events_sent;
  soak_gateway gateway;
  std::vector<std::unique_ptr<hostile_caller>> callers;
  steady_time next_sample{};
  int requests = 0;
  std::size_t peak = 0;
  std::size_t descriptors = 0;
};

}  // namespace

}  // namespace chestnuthead::soak

int main(int argc, char** argv) {
  using namespace chestnuthead::soak;
  std::signal(SIGPIPE, SIG_IGN);
  constexpr int arguments = 4;
  const std::vector<attack> known = attacks();
  const auto chosen = std::find_if(known.begin(), known.end(), [&](const attack& one) {
    return argc == arguments && one.name == argv[1];
  });
  if (chosen == known.end()) {
    std::cerr << "usage: hostile_callers KIND GATEWAY_PROGRAM FOLDER\n";
    return 2;
  }
  std::filesystem::remove_all(argv[3]);
  std::filesystem::create_directories(argv[3]);
  attack_run run(*chosen, argv[2], argv[3]);
  const std::vector<std::string> faults = run.run();
  for (const std::string& fault : faults) {
    std::cout << "  " << fault << std::endl;
  }
  return faults.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
