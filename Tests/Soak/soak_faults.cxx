// The faults of a soak run: their schedule, which follows from the seed, and their effects.
#include <csignal>

#include "soak_run.h"

namespace chestnuthead::soak {

namespace {

using std::chrono::milliseconds;

/// Exceeds the number of faults of any run, so that no two faults of any seeds share a seed.
constexpr std::uint64_t fault_seeds_per_run = 100'000;
/// Separates the random source of the silences from those of other faults.
constexpr std::uint64_t silence_seeds = 1ULL << 62U;

}  // namespace

milliseconds soak_run::random_duration(int least, int most) {
  const auto range = static_cast<std::uint64_t>(most - least) + 1;
  return milliseconds{least + static_cast<int>(next_below(this->fault_random, range))};
}

soak_endpoint& soak_run::pick_endpoint() {
  return *this->endpoints[next_below(this->fault_random, this->first_endpoints)];
}

void soak_run::disturb_gateway(soak_gateway& gateway) {
  const milliseconds length = this->random_duration(300, 2'500);
  if (next_below(this->fault_random, 2) == 0) {
    this->log_event("kill " + gateway.name);
    this->record_disturbance(gateway.name, disturbed_part::gateway_process, milliseconds{1'000});
    gateway.signal(SIGKILL);
    return;
  }
  this->log_event("pause " + gateway.name + " for " + std::to_string(length.count()) + " ms");
  this->record_disturbance(gateway.name, disturbed_part::gateway_process, length);
  gateway.signal(SIGSTOP);
  this->tasks.after(length, [&gateway] { gateway.signal(SIGCONT); });
}

// Variants: 0 drops bytes in both directions, 1 drops the bytes of the store, 2 refuses and resets
// connections, 3 delays bytes.
void soak_run::disturb_store() {
  const milliseconds length = this->random_duration(500, 8'500);
  const auto variant = next_below(this->fault_random, 4);
  const bool for_all = next_below(this->fault_random, 3) == 0;
  soak_gateway& one = this->pick_gateway(this->fault_random);
  if (next_below(this->fault_random, 2) == 0) {
    // Worst case for a revocation: just after the connection to the store is disturbed.
    this->tasks.after(milliseconds{10}, [this] { this->revoke_key(); });
  }
  for (const auto& gateway : this->gateways) {
    if (!for_all && gateway.get() != &one) {
      continue;
    }
    fault_proxy& proxy = *gateway->store_proxy;
    this->log_event("store of " + gateway->name + " disturbed, variant " + std::to_string(variant) +
                    ", for " + std::to_string(length.count()) + " ms");
    this->record_disturbance(gateway->name, disturbed_part::store_link, length);
    proxy.fault.drop_from_caller = variant == 0;
    proxy.fault.drop_to_caller = variant == 0 || variant == 1;
    proxy.fault.refuse_connections = variant == 2;
    proxy.fault.delay = milliseconds{variant == 3 ? 250 : 0};
    if (variant == 2) {
      proxy.reset_all();
    }
    this->tasks.after(length, [&proxy] {
      proxy.fault = {};
      proxy.reset_all();
    });
  }
}

// Variants: 0 to 3 as for the store, 4 answers requests with errors, 5 resets connections after
// the execution.
void soak_run::disturb_endpoint(soak_endpoint& endpoint) {
  const milliseconds length = this->random_duration(300, 3'000);
  const auto variant = next_below(this->fault_random, 6);
  this->log_event(endpoint.name + " disturbed, variant " + std::to_string(variant) + ", for " +
                  std::to_string(length.count()) + " ms");
  this->record_disturbance(
      endpoint.name, variant < 4 ? disturbed_part::endpoint_link : disturbed_part::endpoint_answers,
      length);
  link_fault& fault = endpoint.proxy().fault;
  fault.drop_from_caller = variant == 0;
  fault.drop_to_caller = variant == 0 || variant == 1;
  fault.refuse_connections = variant == 2;
  fault.delay = milliseconds{variant == 3 ? 200 : 0};
  endpoint.error_answer_share = variant == 4 ? 0.5 : 0.0;
  endpoint.lost_answer_share = variant == 5 ? 0.3 : 0.0;
  if (variant == 2) {
    endpoint.proxy().reset_all();
  }
  this->tasks.after(length, [&endpoint] {
    endpoint.proxy().fault = {};
    endpoint.error_answer_share = 0.0;
    endpoint.lost_answer_share = 0.0;
    endpoint.proxy().reset_all();
  });
}

void soak_run::stop_gracefully(soak_gateway& gateway) {
  if (gateway.stopping) {
    return;
  }
  const steady_time now = this->time.now();
  this->log_event("SIGTERM to " + gateway.name);
  gateway.stopping = true;
  this->history.planned_stops.push_back(
      {gateway.name, disturbed_part::gateway_process, now, now + std::chrono::seconds{8}});
  gateway.signal(SIGTERM);
}

void soak_run::restore_store(seeded_random& restore_random) {
  const milliseconds downtime{static_cast<int>(next_below(restore_random, 1'500))};
  const milliseconds rewrite_delay =
      downtime + milliseconds{static_cast<int>(next_below(restore_random, 1'500))};
  this->log_event("restore the store from a copy; it refuses calls for " +
                  std::to_string(downtime.count()) + " ms, and lost rows are written again after " +
                  std::to_string(rewrite_delay.count()) + " ms");
  for (const auto& gateway : this->gateways) {
    this->record_disturbance(gateway->name, disturbed_part::store_link,
                             rewrite_delay + milliseconds{100});
  }
  this->store->restore_oldest_copy(downtime);
  this->tasks.after(rewrite_delay, [this] {
    this->store->put("op", "config", this->configuration);
    for (const auto& endpoint : this->endpoints) {
      const auto state = this->endpoint_states.find(endpoint->name);
      if (state != this->endpoint_states.end()) {
        this->write_endpoint(endpoint->name, std::string(state->second));
      } else {
        this->write_to_store("servers", endpoint->name, "");
      }
    }
  });
}

void soak_run::schedule_store_restores() {
  constexpr milliseconds copy_interval{700};
  for (milliseconds at{0}; at < this->options.length; at += copy_interval) {
    this->tasks.after(at, [this] { this->store->save_copy(); });
  }
  const auto restore_random = std::make_shared<seeded_random>(~this->options.seed);
  const milliseconds length = this->options.length;
  for (int count = 0; count < this->options.store_copies; ++count) {
    const auto at = next_below(*restore_random, static_cast<std::uint64_t>(length.count()));
    this->tasks.after(milliseconds{static_cast<std::int64_t>(at)},
                      [this, restore_random] { this->restore_store(*restore_random); });
  }
}

void soak_run::silence_endpoints(seeded_random& silence_random) {
  constexpr std::uint64_t shortest_ms = 800;
  constexpr std::uint64_t range_ms = 1'201;
  // On average one moment in six silences all endpoints, three every second one, two a single one.
  const auto scope = next_below(silence_random, 6);
  const auto first = next_below(silence_random, this->endpoints.size());
  const bool with_configuration = next_below(silence_random, 2) == 0;
  for (std::size_t number = 0; number < this->first_endpoints; ++number) {
    const milliseconds length{shortest_ms + next_below(silence_random, range_ms)};
    soak_endpoint& endpoint = *this->endpoints[number];
    const bool chosen = scope == 0 || (scope <= 3 ? number % 2 == first % 2 : number == first);
    const steady_time now = this->time.now();
    if (!chosen || endpoint.silent_until > now) {
      continue;
    }
    this->log_event(endpoint.name + " falls silent for " + std::to_string(length.count()) + " ms");
    endpoint.silent_until = now + length;
    this->history.silences[endpoint.name].emplace_back(now, now + length);
  }
  if (with_configuration) {
    this->tasks.after(milliseconds{shortest_ms}, [this] {
      this->log_event("new configuration");
      this->write_configuration();
    });
  }
}

void soak_run::schedule_silences() {
  const auto silence_random = std::make_shared<seeded_random>(this->options.seed ^ silence_seeds);
  const milliseconds length = this->options.length;
  for (int count = 0; count < this->options.silences; ++count) {
    const auto at = next_below(*silence_random, static_cast<std::uint64_t>(length.count()));
    this->tasks.after(milliseconds{static_cast<std::int64_t>(at)},
                      [this, silence_random] { this->silence_endpoints(*silence_random); });
  }
}

void soak_run::revoke_key() {
  if (this->keys.size() < 2) {
    return;
  }
  if (this->store->is_down()) {
    return;
  }
  const std::string key = this->keys.back();
  this->log_event("revoke " + key);
  this->keys.pop_back();
  this->write_configuration();
  this->history.revoked_keys[key] = this->time.now();
}

void soak_run::inject_planned_change() {
  const auto variant = next_below(this->fault_random, 5);
  if (variant == 0) {
    this->stop_gracefully(this->pick_gateway(this->fault_random));
  } else if (variant == 1) {
    this->revoke_key();
  } else if (variant == 2) {
    this->log_event("drop the change history of the store");
    this->store->drop_history();
  } else if (variant == 3) {
    soak_endpoint& endpoint = this->pick_endpoint();
    const std::string name = endpoint.name;
    auto& absences = this->history.departures[name];
    if (!absences.empty() && absences.back().second > this->time.now()) {
      return;
    }
    const steady_time back_at = this->time.now() + std::chrono::seconds{4};
    this->log_event(name + " leaves");
    this->write_endpoint(name, "draining");
    absences.emplace_back(this->time.now(), back_at);
    this->tasks.after(std::chrono::seconds{4},
                      [this, name] { this->write_endpoint(name, "ready"); });
  } else {
    this->log_event("new configuration");
    this->write_configuration();
  }
}

void soak_run::inject_fault(std::size_t number) {
  this->fault_random = seeded_random(this->options.seed * fault_seeds_per_run + number);
  const auto what = next_below(this->fault_random, 10);
  if (what < 2) {
    this->disturb_gateway(this->pick_gateway(this->fault_random));
  } else if (what < 4) {
    this->disturb_store();
  } else if (what < 7) {
    this->disturb_endpoint(this->pick_endpoint());
  } else {
    this->inject_planned_change();
  }
}

void soak_run::schedule_faults() {
  milliseconds at{0};
  while (at < this->options.length) {
    const std::size_t number = this->fault_count++;
    if (!this->options.left_out.contains(number)) {
      this->tasks.after(at, [this, number] { this->inject_fault(number); });
    }
    at += this->random_duration(200, 1'400);
  }
}

}  // namespace chestnuthead::soak
