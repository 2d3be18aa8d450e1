#include "soak_run.h"

#include <algorithm>
#include <fstream>
#include <utility>

namespace chestnuthead::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds step_time{4};
/// Interval at which callers may send if endpoints turn cold.
constexpr milliseconds callers_pause{20};
/// Consecutive requests that must be answered after the last fault.
constexpr int answers_for_recovery = 60;
/// Time for the gateways to start before faults begin.
constexpr milliseconds start_time{2'500};
constexpr milliseconds restart_delay{200};
/// Longer, so that the gateways of a run with releases are away all at once.
constexpr milliseconds release_restart_delay{1'000};
/// Separates the random source of the unframed answers from those of the faults.
constexpr std::uint64_t unframed_seeds = 1ULL << 60U;
constexpr int plain_endpoints = 2;

const std::string chat_pool = "engines";
const std::string plain_pool = "orders";
const std::string writer_pool = "writers";
const std::string other_writer_pool = "other-writers";

const std::string& pool_of(const std::string& endpoint) {
  if (endpoint.starts_with("other-writer")) {
    return other_writer_pool;
  }
  if (endpoint.starts_with("writer")) {
    return writer_pool;
  }
  return endpoint.starts_with("plain") ? plain_pool : chat_pool;
}

}  // namespace

soak_run::soak_run(soak_options run_options)
    : options(std::move(run_options)),
      caller_random(this->options.seed),
      fault_random(this->options.seed),
      crash_random(this->options.seed),
      release_random(this->options.seed),
      tasks(this->time),
      started_at(this->time.now()) {
  if (this->options.cold_starts > 0) {
    this->options.callers = std::max(this->options.callers, this->options.gateways);
  }
}

soak_gateway& soak_run::pick_gateway(random_source& source) {
  return *this->gateways[next_below(source, this->gateways.size())];
}

void soak_run::log_event(const std::string& what) {
  const auto at = std::chrono::duration_cast<milliseconds>(this->time.now() - this->started_at);
  this->schedule += std::to_string(at.count()) + " ms: " + what + "\n";
}

void soak_run::record_disturbance(const std::string& process, disturbed_part part,
                                  milliseconds length) {
  const steady_time now = this->time.now();
  this->history.disturbances.push_back({process, part, now, now + length});
}

void soak_run::write_configuration() {
  std::string key_list;
  for (const std::string& key : this->keys) {
    key_list += (key_list.empty() ? "\"" : ",\"") + key + "\"";
  }
  const auto route_to = [](const std::string& prefix, const std::string& target,
                           const std::string& rest, milliseconds timeout = patience) {
    return R"({"name":")" + prefix + R"(","host":"soak.example","prefix":"/)" + prefix +
           R"(/","timeout_ms":)" + std::to_string(timeout.count()) +
           R"(,"target_latency_ms":300,)" + target + "," + rest + "}";
  };
  const auto route = [&route_to](const std::string& prefix, const std::string& pool,
                                 const std::string& rest) {
    return route_to(prefix, R"("service":")" + pool + "\"", rest);
  };
  const auto service = [this](const std::string& pool) {
    const bool may_be_cold = this->options.cold_starts > 0 && pool == chat_pool;
    const std::string cold = R"(,"warmup_s":)" + std::to_string(cold_time.count()) +
                             R"(,"warmup_per_s":)" + std::to_string(cold_rate);
    return R"({"name":")" + pool + R"(","health_check_path":"/healthz","max_connections":300)" +
           (may_be_cold ? cold : "") + "}";
  };
  std::string write_route;
  std::string write_service;
  if (this->options.releases > 0) {
    const std::string halves = R"("backends":[{"service":")" + writer_pool +
                               R"(","weight":50},{"service":")" + other_writer_pool +
                               R"(","weight":50}])";
    const std::string whole = R"("service":")" + writer_pool + "\"";
    write_route = "," + route_to("write", this->options.split_writers ? halves : whole,
                                 R"("type":"stream","stream_resume":true,"max_attempts":3)",
                                 writing_patience);
    write_service = "," + service(writer_pool) + "," + service(other_writer_pool);
  }
  this->configuration =
      R"({"version":)" + std::to_string(++this->configuration_version) + R"(,"routes":[)" +
      route("chat", chat_pool,
            R"("type":"stream","stream_resume":true,"max_attempts":2,"gap_target_ms":250)") +
      "," + route("guide", chat_pool, R"("type":"stream","max_attempts":1)") + "," +
      route("pay", plain_pool, R"("type":"unsafe","max_attempts":1)") + "," +
      route("look", plain_pool, R"("type":"safe","max_attempts":2)") + write_route +
      R"(],"services":[)" + service(chat_pool) + "," + service(plain_pool) + write_service +
      R"(],"limits":{},"tenants":[{"name":"schools","api_keys":[)" + key_list + "]}]}";
  this->write_to_store("op", "config", this->configuration);
}

void soak_run::write_to_store(const std::string& table, const std::string& key,
                              const std::string& value) {
  // While the store is down, the write is skipped: restore_store writes all rows afterwards.
  if (!this->store->is_down()) {
    this->store->put(table, key, value);
  }
}

void soak_run::write_endpoint(const std::string& endpoint, const std::string& state) {
  if (state == "ready" && this->endpoint_states[endpoint] == "draining") {
    // The endpoint has left and restarted.
    ++this->endpoint_restarts[endpoint];
  }
  this->endpoint_states[endpoint] = state;
  for (const auto& one : this->endpoints) {
    if (one->name == endpoint) {
      one->leaving = state == "draining";
      this->write_to_store(
          "servers", endpoint,
          R"({"service":")" + pool_of(endpoint) + R"(","address":")" + one->proxy().address +
              R"(","zone":"north","batch_slots":64,"state":")" + state +
              R"(","warmup_remaining_ms":)" +
              std::to_string(cold_time_left(*one, this->time.now()).count()) + R"(,"born":)" +
              std::to_string(1 + this->endpoint_restarts[endpoint]) + R"(,"sequence":)" +
              std::to_string(++this->heartbeat_sequence) +
              (one->version.empty() ? "" : R"(,"version":")" + one->version + "\"") + "}");
    }
  }
}

void soak_run::choose_unframed_endpoints() {
  seeded_random choice(this->options.seed ^ unframed_seeds);
  const auto one_engine = next_below(choice, static_cast<std::uint64_t>(this->options.engines));
  for (std::size_t number = 0; number < this->endpoints.size(); ++number) {
    const bool chosen = next_below(choice, 2) == 0 || number == one_engine;
    this->endpoints[number]->unframed = this->options.unframed && chosen;
  }
}

void soak_run::set_up() {
  this->keys = {"key-0", "key-1", "key-2", "key-3", "key-4"};
  this->store = std::make_unique<row_store>(this->loop, this->tasks, this->time);
  this->write_configuration();
  const int engines = this->options.engines;
  for (int number = 0; number < engines + plain_endpoints; ++number) {
    const std::string name = (number < engines ? "engine-" : "plain-") + std::to_string(number);
    this->endpoints.push_back(std::make_unique<soak_endpoint>(
        this->loop, this->tasks, this->time, this->executions, name, this->caller_random.next()));
    this->write_endpoint(name, "ready");
  }
  this->set_up_writers();
  this->choose_unframed_endpoints();
  this->first_endpoints = this->endpoints.size();
  for (int number = 0; number < this->options.gateways; ++number) {
    this->gateways.push_back(std::make_unique<soak_gateway>(
        "gateway-" + std::to_string(number), this->options.gateway_program, this->options.folder,
        std::make_unique<fault_proxy>(this->loop, this->tasks, this->store->address())));
    this->gateways.back()->start();
  }
}

void soak_run::restart_ended_gateways() {
  for (const auto& gateway : this->gateways) {
    soak_gateway* one = gateway.get();
    const bool ran = one->last_status != -2;
    if (!one->is_running() && ran) {
      one->last_status = -2;
      const bool releases = this->options.releases > 0;
      this->tasks.after(releases ? release_restart_delay : restart_delay, [one] {
        one->start();
        one->last_status = -1;
      });
    }
  }
}

std::string soak_run::next_request_id() {
  return std::to_string(this->options.seed) + "-" + std::to_string(++this->requests_sent);
}

void soak_run::send_next_request(soak_caller& caller) {
  soak_request request;
  request.id = this->next_request_id();
  request.kind = static_cast<request_kind>(next_below(this->caller_random, 4));
  // While faults are injected, callers go on using revoked keys.
  const std::uint64_t keys_used = this->faults_ended ? this->keys.size() : 5;
  request.key = "key-" + std::to_string(next_below(this->caller_random, keys_used));
  caller.send_request(std::move(request));
}

soak_gateway& soak_run::choose_callers_gateway() {
  if (this->options.cold_starts == 0) {
    return this->pick_gateway(this->caller_random);
  }
  // Each gateway has to send requests to a cold endpoint, so none is without a caller.
  std::map<std::string, int> counts;
  for (const auto& caller : this->callers) {
    ++counts[caller->gateway];
  }
  return **std::min_element(this->gateways.begin(), this->gateways.end(),
                            [&counts](const auto& one, const auto& other) {
                              return counts[one->name] < counts[other->name];
                            });
}

void soak_run::keep_callers_busy() {
  if (this->options.cold_starts > 0) {
    // Many callers that never paused would ask for more than this machine can play.
    if (this->time.now() < this->callers_wait_until) {
      return;
    }
    this->callers_wait_until = this->time.now() + callers_pause;
  }
  for (auto& caller : this->callers) {
    if (caller->is_closed()) {
      this->loop.dispose(std::move(caller));
    }
  }
  std::erase(this->callers, nullptr);
  while (this->callers.size() < static_cast<std::size_t>(this->options.callers)) {
    const soak_gateway& gateway = this->choose_callers_gateway();
    this->callers.push_back(std::make_unique<soak_caller>(
        this->loop, this->time, gateway.name, gateway.public_address,
        [this](const soak_request& request) {
          this->history.requests.push_back(request);
          const bool good = request.complete && request.status == 200;
          this->answered_in_row = good ? this->answered_in_row + 1 : 0;
        }));
  }
  for (const auto& caller : this->callers) {
    // Sending in only some steps leaves connections idle at times.
    if (caller->can_send() && next_below(this->caller_random, 10) == 0) {
      this->send_next_request(*caller);
    }
  }
}

void soak_run::run_step() {
  const steady_time step_began = this->time.now();
  this->loop.run_once(step_time);
  this->tasks.run_due();
  this->restart_ended_gateways();
  this->keep_callers_busy();
  this->longest_step = std::max(
      this->longest_step, std::chrono::duration_cast<milliseconds>(this->time.now() - step_began));
}

bool soak_run::has_recovered() {
  return this->answered_in_row >= answers_for_recovery;
}

void soak_run::write_unframed_summary() {
  if (!this->options.unframed) {
    return;
  }
  int unframed = 0;
  int broken_off = 0;
  int resumed = 0;
  for (const soak_request& request : this->history.requests) {
    const std::vector<execution>& runs = this->executions[request.id];
    const bool broken =
        std::any_of(runs.begin(), runs.end(), [](const execution& run) { return run.broken_off; });
    unframed += !runs.empty() && runs.back().unframed && request.complete ? 1 : 0;
    broken_off += broken ? 1 : 0;
    resumed += broken && request.complete && request.status == 200 ? 1 : 0;
  }
  std::ofstream(this->options.folder + "/summary.txt", std::ios::app)
      << "unframed answers received " << unframed << " broken off " << broken_off
      << " of which resumed " << resumed << "\n";
}

std::vector<std::string> soak_run::run_schedule() {
  this->set_up();
  this->tasks.after(start_time, [this] {
    if (this->options.releases > 0) {
      this->schedule_releases();
    } else {
      this->schedule_faults();
    }
  });
  this->tasks.after(start_time, [this] { this->schedule_store_restores(); });
  this->tasks.after(start_time, [this] { this->schedule_silences(); });
  this->tasks.after(start_time, [this] { this->schedule_crashing_part(); });
  this->tasks.after(start_time, [this] { this->schedule_cold_starts(); });
  // The longest fault lasts this long, so all faults have ended by `faults_end`.
  constexpr milliseconds longest_fault{8'500};
  this->history.faults_from = this->time.now() + start_time;
  const steady_time faults_end = this->history.faults_from + this->options.length + longest_fault;
  while (this->time.now() < faults_end) {
    this->run_step();
  }
  this->faults_ended = true;
  this->history.crashing_until = this->time.now();
  this->answered_in_row = 0;
  const steady_time give_up = this->time.now() + recovery_time;
  while (!this->has_recovered() && this->time.now() < give_up) {
    this->run_step();
  }
  std::ofstream(this->options.folder + "/schedule.txt") << this->schedule;
  std::vector<std::string> violations = find_violations(this->history, this->executions);
  if (!this->has_recovered()) {
    violations.push_back("Service had not recovered " + std::to_string(recovery_time.count()) +
                         " ms after the last fault.");
  }
  const auto served = std::count_if(
      this->history.requests.begin(), this->history.requests.end(),
      [](const soak_request& request) { return request.complete && request.status == 200; });
  std::ofstream(this->options.folder + "/summary.txt")
      << "requests " << this->history.requests.size() << " served " << served << " broken "
      << violations.size() << "\n";
  this->write_unframed_summary();
  this->write_writing_summary();
  this->write_cold_summary();
  return violations;
}

}  // namespace chestnuthead::soak
