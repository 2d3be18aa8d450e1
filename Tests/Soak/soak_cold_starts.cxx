// Endpoints of the engine pool that turn cold.
#include <algorithm>
#include <csignal>
#include <deque>
#include <fstream>
#include <iostream>

#include "soak_run.h"

namespace chestnuthead::soak {

namespace {

using std::chrono::milliseconds;

/// Separates the random source of the cold starts from those of other faults.
constexpr std::uint64_t cold_seeds = 1ULL << 58U;
/// How long a flooded engine is away, and how much later its row follows.
constexpr milliseconds flood_absence{1'500};
constexpr milliseconds flood_row_lag{300};

}  // namespace

void soak_run::schedule_cold_starts() {
  constexpr milliseconds kill_lead{1'000};
  constexpr milliseconds silence_lead{500};
  const auto random = std::make_shared<seeded_random>(this->options.seed ^ cold_seeds);
  const auto draw = [&random](std::uint64_t least, std::uint64_t most) {
    return milliseconds{least + next_below(*random, most - least + 1)};
  };
  const auto length = static_cast<std::uint64_t>(milliseconds{this->options.length}.count());
  for (int count = 0; count < this->options.cold_starts; ++count) {
    const milliseconds at = draw(static_cast<std::uint64_t>(kill_lead.count()), length);
    const auto killed = next_below(*random, 4);
    if (killed < 2) {
      this->tasks.after(at - kill_lead,
                        [this, killed] { this->kill_gateways(killed == 0 ? 1 : 2); });
    }
    const bool store_is_silent = next_below(*random, 5) == 0;
    const milliseconds silence = draw(1'000, 2'500);
    if (store_is_silent) {
      this->tasks.after(at - silence_lead, [this, silence] { this->silence_store(silence); });
    }
    const std::uint64_t endpoints_at_once =
        next_below(*random, 3) == 0 ? 2 + next_below(*random, 3) : 1;
    for (std::uint64_t number = 0; number < endpoints_at_once; ++number) {
      const auto kind = next_below(*random, 3);
      const auto first = next_below(*random, static_cast<std::uint64_t>(this->options.engines));
      const bool removes_row = next_below(*random, 2) == 0;
      const milliseconds absence = draw(500, 3'000);
      const milliseconds row_lag = draw(0, 1'000);
      const std::uint64_t seed = random->next();
      this->tasks.after(at, [this, kind, first, removes_row, absence, row_lag, seed] {
        if (kind == 0) {
          this->add_cold_endpoint(seed);
        } else if (soak_endpoint* engine = this->find_warm_engine(first)) {
          if (kind == 1) {
            this->restart_cold(*engine, absence, row_lag, removes_row);
          } else {
            this->begin_cold_time(*engine, row_lag, true);
          }
        }
      });
    }
  }
}

void soak_run::kill_gateways(std::size_t every) {
  this->log_event(every == 1 ? "kill all gateways" : "kill every second gateway");
  for (std::size_t number = 0; number < this->gateways.size(); number += every) {
    const soak_gateway& gateway = *this->gateways[number];
    this->record_disturbance(gateway.name, disturbed_part::gateway_process, milliseconds{1'000});
    gateway.signal(SIGKILL);
  }
}

void soak_run::silence_store(milliseconds length) {
  this->log_event("store is silent for " + std::to_string(length.count()) + " ms");
  for (const auto& gateway : this->gateways) {
    this->record_disturbance(gateway->name, disturbed_part::store_link, length);
    fault_proxy* proxy = gateway->store_proxy.get();
    proxy->fault.drop_to_caller = true;
    this->tasks.after(length, [proxy] {
      proxy->fault = {};
      proxy->reset_all();
    });
  }
}

soak_endpoint* soak_run::find_warm_engine(std::size_t first) {
  const auto engines = static_cast<std::size_t>(this->options.engines);
  for (std::size_t number = 0; number < engines; ++number) {
    soak_endpoint& engine = *this->endpoints[(first + number) % engines];
    if (this->is_serving(engine) && engine.cold_until <= this->time.now()) {
      return &engine;
    }
  }
  return nullptr;
}

void soak_run::add_cold_endpoint(std::uint64_t seed) {
  this->endpoints.push_back(std::make_unique<soak_endpoint>(
      this->loop, this->tasks, this->time, this->executions,
      "engine-new-" + std::to_string(this->endpoints.size()), seed));
  this->endpoint_states[this->endpoints.back()->name] = "ready";
  this->begin_cold_time(*this->endpoints.back(), milliseconds{0}, false);
}

void soak_run::restart_cold(soak_endpoint& endpoint, milliseconds absence, milliseconds row_lag,
                            bool removes_row) {
  this->log_event(endpoint.name + " crashes, is away for " + std::to_string(absence.count()) +
                  " ms, its row " + (removes_row ? "is removed" : "stays"));
  this->record_disturbance(endpoint.name, disturbed_part::endpoint_link, absence);
  endpoint.proxy().down = true;
  endpoint.proxy().stop_listening();
  endpoint.proxy().reset_all();
  if (removes_row) {
    this->write_to_store("servers", endpoint.name, "");
  }
  this->tasks.after(absence, [this, &endpoint, row_lag] {
    endpoint.proxy().down = false;
    endpoint.proxy().listen();
    ++this->endpoint_restarts[endpoint.name];
    this->begin_cold_time(endpoint, row_lag, false);
  });
}

void soak_run::begin_cold_time(soak_endpoint& endpoint, milliseconds row_lag, bool in_place) {
  this->log_event(endpoint.name + (in_place ? " turns cold in place" : " starts cold") +
                  ", its row follows after " + std::to_string(row_lag.count()) + " ms");
  const steady_time now = this->time.now();
  endpoint.cold_until = now + cold_time;
  this->history.cold_starts.push_back(
      {endpoint.name, in_place, now, in_place ? endpoint.cold_until : now, endpoint.cold_until});
  const std::size_t number = this->history.cold_starts.size() - 1;
  this->tasks.after(row_lag, [this, &endpoint, number] { this->list_cold(endpoint, number); });
  if (this->options.flood_crashes) {
    this->crash_when_flooded(endpoint, number);
  }
}

void soak_run::crash_when_flooded(soak_endpoint& endpoint, std::size_t number) {
  endpoint.on_request = [this, &endpoint, number, last = std::deque<steady_time>()]() mutable {
    const steady_time now = this->time.now();
    const cold_start& start = this->history.cold_starts[number];
    if (now < start.counted_from || now >= start.until || endpoint.is_down()) {
      return;
    }
    last.push_back(now);
    while (now - last.front() >= std::chrono::seconds{1}) {
      last.pop_front();
    }
    if (last.size() == cold_bound + 1) {
      this->log_event(endpoint.name + " is flooded");
      // Not at once: the connection of the request is being read.
      this->tasks.after(milliseconds{1}, [this, &endpoint] {
        this->restart_cold(endpoint, flood_absence, flood_row_lag, false);
      });
    }
  };
}

void soak_run::list_cold(soak_endpoint& endpoint, std::size_t number) {
  if (this->store->is_down()) {
    this->tasks.after(milliseconds{100},
                      [this, &endpoint, number] { this->list_cold(endpoint, number); });
    return;
  }
  this->write_endpoint(endpoint.name, std::string(this->endpoint_states[endpoint.name]));
  cold_start& start = this->history.cold_starts[number];
  if (start.in_place) {
    start.counted_from = this->time.now() + cold_lag;
  }
}

void soak_run::write_cold_summary() {
  if (this->options.cold_starts == 0) {
    return;
  }
  std::ofstream file(this->options.folder + "/cold-starts.txt");
  std::size_t most = 0;
  for (const cold_start& start : this->history.cold_starts) {
    const auto offset = [this](steady_time at) {
      return std::chrono::duration_cast<milliseconds>(at - this->started_at).count();
    };
    const auto busiest = busiest_second(this->history, this->executions, start);
    most = std::max(most, busiest.size());
    file << start.endpoint << (start.in_place ? " in place" : " started") << " at "
         << offset(start.from) << " ms: " << busiest.size() << "\n";
    for (const arrival& one : busiest) {
      file << "  " << offset(one.at) << " " << one.gateway << " " << one.request << "\n";
    }
  }
  const std::string summary = "cold starts " + std::to_string(this->history.cold_starts.size()) +
                              ", most requests in one second " + std::to_string(most) +
                              ", longest step " + std::to_string(this->longest_step.count()) +
                              " ms\n";
  std::cout << summary;
  std::ofstream(this->options.folder + "/summary.txt", std::ios::app) << summary;
}

}  // namespace chestnuthead::soak
