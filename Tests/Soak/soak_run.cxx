#include "soak_run.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

namespace chestnuthead::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds round_time{4};
/// Requests in a row that must be served after the last fault.
constexpr int served_needed = 60;
/// Time for the gateways to start before faults begin.
constexpr milliseconds start_time{2'500};
constexpr milliseconds restart_delay{200};
/// Above the number of faults that any run has.
constexpr std::uint64_t faults_a_seed = 100'000;
constexpr int engines = 4;
constexpr int plain_endpoints = 2;

const std::string chat_pool = "engines";
const std::string plain_pool = "orders";

}  // namespace

soak_run::soak_run(soak_options wanted)
    : options(std::move(wanted)),
      random(this->options.seed),
      fault_random(this->options.seed),
      tasks(this->time),
      began_at(this->time.now()) {}

milliseconds soak_run::between(int least, int most) {
  const auto range = static_cast<std::uint64_t>(most - least) + 1;
  return milliseconds{least + static_cast<int>(next_below(this->fault_random, range))};
}

soak_gateway& soak_run::any_gateway(random_source& source) {
  return *this->gateways[next_below(source, this->gateways.size())];
}

soak_endpoint& soak_run::any_endpoint() {
  return *this->endpoints[next_below(this->fault_random, this->endpoints.size())];
}

void soak_run::note(const std::string& what) {
  const auto at = std::chrono::duration_cast<milliseconds>(this->time.now() - this->began_at);
  this->schedule += std::to_string(at.count()) + " ms: " + what + "\n";
}

void soak_run::disturb(const std::string& process, milliseconds length) {
  const steady_time now = this->time.now();
  this->history.disturbances.push_back({process, now, now + length});
}

void soak_run::write_configuration() {
  std::string key_list;
  for (const std::string& key : this->keys) {
    key_list += (key_list.empty() ? "\"" : ",\"") + key + "\"";
  }
  const auto route = [](const std::string& prefix, const std::string& pool,
                        const std::string& rest) {
    return R"({"name":")" + prefix + R"(","host":"soak.example","prefix":"/)" + prefix +
           R"(/","timeout_ms":4000,"target_latency_ms":300,"service":")" + pool + "\"," + rest +
           "}";
  };
  this->configuration =
      R"({"version":)" + std::to_string(++this->configuration_version) + R"(,"routes":[)" +
      route("chat", chat_pool,
            R"("type":"stream","stream_resume":true,"max_attempts":2,"gap_target_ms":250)") +
      "," + route("guide", chat_pool, R"("type":"stream","max_attempts":1)") + "," +
      route("pay", plain_pool, R"("type":"unsafe","max_attempts":1)") + "," +
      route("look", plain_pool, R"("type":"safe","max_attempts":2)") +
      R"(],"services":[{"name":"engines","health_check_path":"/healthz",)"
      R"("max_connections":300},{"name":"orders","health_check_path":"/healthz",)"
      R"("max_connections":300}],"limits":{},"tenants":[{"name":"schools","api_keys":[)" +
      key_list + "]}]}";
  this->write_to_store("op", "config", this->configuration);
}

void soak_run::write_to_store(const std::string& table, const std::string& key,
                              const std::string& value) {
  // What can't be written now is once the store is back.
  if (!this->store->is_away()) {
    this->store->put(table, key, value);
  }
}

void soak_run::list(const std::string& endpoint, const std::string& state) {
  if (state == "ready" && this->states[endpoint] == "draining") {
    // It has left and started again.
    ++this->starts[endpoint];
  }
  this->states[endpoint] = state;
  for (const auto& one : this->endpoints) {
    if (one->name == endpoint) {
      const bool plain = endpoint.starts_with("plain");
      one->leaving = state == "draining";
      this->write_to_store(
          "servers", endpoint,
          R"({"service":")" + (plain ? plain_pool : chat_pool) + R"(","address":")" +
              one->proxy().address + R"(","zone":"north","batch_slots":64,"state":")" + state +
              R"(","warmup_remaining_ms":0,"born":)" + std::to_string(1 + this->starts[endpoint]) +
              R"(,"sequence":)" + std::to_string(++this->heartbeats) + "}");
    }
  }
}

void soak_run::build() {
  this->keys = {"key-0", "key-1", "key-2", "key-3", "key-4"};
  this->store = std::make_unique<row_store>(this->loop, this->tasks, this->time);
  this->write_configuration();
  for (int number = 0; number < engines + plain_endpoints; ++number) {
    const std::string name = (number < engines ? "engine-" : "plain-") + std::to_string(number);
    this->endpoints.push_back(std::make_unique<soak_endpoint>(
        this->loop, this->tasks, this->time, this->book, name, this->random.next()));
    this->list(name, "ready");
  }
  for (int number = 0; number < this->options.gateways; ++number) {
    this->gateways.push_back(std::make_unique<soak_gateway>(
        "gateway-" + std::to_string(number), this->options.gateway_program, this->options.folder,
        std::make_unique<fault_proxy>(this->loop, this->tasks, this->store->address())));
    this->gateways.back()->start();
  }
}

void soak_run::disturb_gateway(soak_gateway& gateway) {
  const milliseconds length = this->between(300, 2'500);
  if (next_below(this->fault_random, 2) == 0) {
    this->note("kill " + gateway.name);
    this->disturb(gateway.name, milliseconds{1'000});
    gateway.signal(SIGKILL);
    return;
  }
  this->note("pause " + gateway.name + " for " + std::to_string(length.count()) + " ms");
  this->disturb(gateway.name, length);
  gateway.signal(SIGSTOP);
  this->tasks.after(length, [&gateway] { gateway.signal(SIGCONT); });
}

void soak_run::disturb_store() {
  const milliseconds length = this->between(500, 8'500);
  const auto how = next_below(this->fault_random, 4);
  const bool for_all = next_below(this->fault_random, 3) == 0;
  soak_gateway& one = this->any_gateway(this->fault_random);
  if (next_below(this->fault_random, 2) == 0) {
    // Just after the way to the store is disturbed: the worst moment.
    this->tasks.after(milliseconds{10}, [this] { this->revoke_key(); });
  }
  for (const auto& gateway : this->gateways) {
    if (!for_all && gateway.get() != &one) {
      continue;
    }
    fault_proxy& way = *gateway->store;
    this->note("store of " + gateway->name + " disturbed, way " + std::to_string(how) + ", for " +
               std::to_string(length.count()) + " ms");
    this->disturb(gateway->name, length);
    way.fault.silent_up = how == 0;
    way.fault.silent_down = how == 0 || how == 1;
    way.fault.refuse = how == 2;
    way.fault.delay = milliseconds{how == 3 ? 250 : 0};
    if (how == 2) {
      way.reset_all();
    }
    this->tasks.after(length, [&way] {
      way.fault = {};
      way.reset_all();
    });
  }
}

void soak_run::disturb_endpoint(soak_endpoint& endpoint) {
  const milliseconds length = this->between(300, 3'000);
  const auto how = next_below(this->fault_random, 6);
  this->note(endpoint.name + " disturbed, way " + std::to_string(how) + ", for " +
             std::to_string(length.count()) + " ms");
  this->disturb(endpoint.name, length);
  link_fault& fault = endpoint.proxy().fault;
  fault.silent_up = how == 0;
  fault.silent_down = how == 0 || how == 1;
  fault.refuse = how == 2;
  fault.delay = milliseconds{how == 3 ? 200 : 0};
  endpoint.error_share = how == 4 ? 0.5 : 0.0;
  endpoint.lost_share = how == 5 ? 0.3 : 0.0;
  if (how == 2) {
    endpoint.proxy().reset_all();
  }
  this->tasks.after(length, [&endpoint] {
    endpoint.proxy().fault = {};
    endpoint.error_share = 0.0;
    endpoint.lost_share = 0.0;
    endpoint.proxy().reset_all();
  });
}

void soak_run::stop_in_order(soak_gateway& gateway) {
  if (gateway.stopping) {
    return;
  }
  const steady_time now = this->time.now();
  this->note("SIGTERM to " + gateway.name);
  gateway.stopping = true;
  this->history.stops.push_back({gateway.name, now, now + std::chrono::seconds{8}});
  gateway.signal(SIGTERM);
}

void soak_run::restore_store(seeded_random& dice) {
  const milliseconds away{static_cast<int>(next_below(dice, 1'500))};
  const milliseconds rewritten = away + milliseconds{static_cast<int>(next_below(dice, 1'500))};
  this->note("the store comes back from a copy after " + std::to_string(away.count()) +
             " ms, and is written again after " + std::to_string(rewritten.count()) + " ms");
  for (const auto& gateway : this->gateways) {
    this->disturb(gateway->name, rewritten + milliseconds{100});
  }
  this->store->come_back_from_copy(away);
  this->tasks.after(rewritten, [this] {
    this->store->put("op", "config", this->configuration);
    for (const auto& [endpoint, state] : std::map(this->states)) {
      this->list(endpoint, state);
    }
  });
}

void soak_run::schedule_copies() {
  constexpr milliseconds copy_interval{700};
  for (milliseconds at{0}; at < this->options.length; at += copy_interval) {
    this->tasks.after(at, [this] { this->store->keep_copy(); });
  }
  const auto dice = std::make_shared<seeded_random>(~this->options.seed);
  const milliseconds length = this->options.length;
  for (int count = 0; count < this->options.store_copies; ++count) {
    const auto at = next_below(*dice, static_cast<std::uint64_t>(length.count()));
    this->tasks.after(milliseconds{static_cast<std::int64_t>(at)},
                      [this, dice] { this->restore_store(*dice); });
  }
}

void soak_run::revoke_key() {
  if (this->keys.size() < 2) {
    return;
  }
  if (this->store->is_away()) {
    return;
  }
  const std::string key = this->keys.back();
  this->note("revoke " + key);
  this->keys.pop_back();
  this->write_configuration();
  this->history.revoked[key] = this->time.now();
}

void soak_run::planned_change() {
  const auto how = next_below(this->fault_random, 5);
  if (how == 0) {
    this->stop_in_order(this->any_gateway(this->fault_random));
  } else if (how == 1) {
    this->revoke_key();
  } else if (how == 2) {
    this->note("forget the store's history");
    this->store->forget_history();
  } else if (how == 3) {
    soak_endpoint& endpoint = this->any_endpoint();
    const std::string name = endpoint.name;
    auto& absences = this->history.left[name];
    if (!absences.empty() && absences.back().second > this->time.now()) {
      return;
    }
    const steady_time back_at = this->time.now() + std::chrono::seconds{4};
    this->note(name + " leaves");
    this->list(name, "draining");
    absences.emplace_back(this->time.now(), back_at);
    this->tasks.after(std::chrono::seconds{4}, [this, name] { this->list(name, "ready"); });
  } else {
    this->note("new configuration");
    this->write_configuration();
  }
}

void soak_run::inject(std::size_t number) {
  this->fault_random = seeded_random(this->options.seed * faults_a_seed + number);
  const auto what = next_below(this->fault_random, 10);
  if (what < 2) {
    this->disturb_gateway(this->any_gateway(this->fault_random));
  } else if (what < 4) {
    this->disturb_store();
  } else if (what < 7) {
    this->disturb_endpoint(this->any_endpoint());
  } else {
    this->planned_change();
  }
}

void soak_run::schedule_faults() {
  milliseconds at{0};
  while (at < this->options.length) {
    const std::size_t number = this->fault_count++;
    if (!this->options.left_out.contains(number)) {
      this->tasks.after(at, [this, number] { this->inject(number); });
    }
    at += this->between(200, 1'400);
  }
}

void soak_run::keep_gateways_up() {
  for (const auto& gateway : this->gateways) {
    soak_gateway* one = gateway.get();
    const bool ran = one->last_status != -2;
    if (!one->runs() && ran) {
      one->last_status = -2;
      this->tasks.after(restart_delay, [one] {
        one->start();
        one->last_status = -1;
      });
    }
  }
}

void soak_run::ask(soak_caller& caller) {
  asked_request request;
  request.id = std::to_string(this->options.seed) + "-" + std::to_string(++this->asked);
  request.kind = static_cast<request_kind>(next_below(this->random, 4));
  // Callers whose key was revoked go on with it while faults are injected.
  const std::uint64_t keys_used = this->calm ? this->keys.size() : 5;
  request.key = "key-" + std::to_string(next_below(this->random, keys_used));
  caller.ask(std::move(request));
}

void soak_run::keep_callers_busy() {
  for (auto& caller : this->callers) {
    if (caller->is_over()) {
      this->loop.dispose(std::move(caller));
    }
  }
  std::erase(this->callers, nullptr);
  while (this->callers.size() < static_cast<std::size_t>(this->options.callers)) {
    soak_gateway& gateway = this->any_gateway(this->random);
    this->callers.push_back(
        std::make_unique<soak_caller>(this->loop, this->time, gateway.name, gateway.public_address,
                                      [this](const asked_request& request) {
                                        this->history.requests.push_back(request);
                                        const bool good = request.whole && request.status == 200;
                                        this->served_in_row = good ? this->served_in_row + 1 : 0;
                                      }));
  }
  for (const auto& caller : this->callers) {
    // A pause now and then leaves connections idle.
    if (caller->is_free() && next_below(this->random, 10) == 0) {
      this->ask(*caller);
    }
  }
}

void soak_run::round() {
  this->loop.run_once(round_time);
  this->tasks.run_due();
  this->keep_gateways_up();
  this->keep_callers_busy();
}

bool soak_run::all_served_again() {
  return this->served_in_row >= served_needed;
}

std::vector<std::string> soak_run::play() {
  this->build();
  this->tasks.after(start_time, [this] { this->schedule_faults(); });
  this->tasks.after(start_time, [this] { this->schedule_copies(); });
  // The longest fault ends at most this long after the last one began.
  constexpr milliseconds longest_fault{8'500};
  const steady_time faults_end =
      this->time.now() + start_time + this->options.length + longest_fault;
  while (this->time.now() < faults_end) {
    this->round();
  }
  this->calm = true;
  this->served_in_row = 0;
  const steady_time give_up = this->time.now() + recovery_time;
  while (!this->all_served_again() && this->time.now() < give_up) {
    this->round();
  }
  std::ofstream(this->options.folder + "/schedule.txt") << this->schedule;
  std::vector<std::string> broken = broken_promises(this->history, this->book);
  if (!this->all_served_again()) {
    broken.push_back("Service was not whole again " + std::to_string(recovery_time.count()) +
                     " ms after the last fault.");
  }
  const auto served = std::count_if(
      this->history.requests.begin(), this->history.requests.end(),
      [](const asked_request& request) { return request.whole && request.status == 200; });
  std::ofstream(this->options.folder + "/summary.txt")
      << "requests " << this->history.requests.size() << " served " << served << " broken "
      << broken.size() << "\n";
  return broken;
}

}  // namespace chestnuthead::soak
