// Requests with a part of the prompt that crashes endpoints, and the crashes.
#include <algorithm>

#include "soak_run.h"

namespace chestnuthead::soak {

namespace {

using std::chrono::milliseconds;

/// Separates the random source of the crashes from those of other faults.
constexpr std::uint64_t crash_seeds = 1ULL << 61U;

}  // namespace

void soak_run::schedule_crashing_part() {
  if (!this->options.crashing_part) {
    return;
  }
  this->crash_random = seeded_random(this->options.seed ^ crash_seeds);
  for (const auto& endpoint : this->endpoints) {
    soak_endpoint* one = endpoint.get();
    one->on_crash = [this, one](const std::string& request) {
      this->crash_endpoint(*one, request);
    };
  }
  const auto quarter = static_cast<std::uint64_t>(milliseconds{this->options.length}.count()) / 4;
  const milliseconds start{quarter + next_below(this->crash_random, quarter)};
  this->tasks.after(start, [this] {
    this->log_event("first request with the crashing part");
    this->history.crashing_from = this->time.now();
    this->send_crashing_request();
  });
}

void soak_run::send_crashing_request() {
  constexpr std::uint64_t shortest_interval_ms = 200;
  constexpr std::uint64_t range_ms = 301;
  if (this->faults_ended) {
    return;
  }
  std::vector<soak_caller*> idle;
  for (const auto& caller : this->callers) {
    if (caller->can_send()) {
      idle.push_back(caller.get());
    }
  }
  milliseconds pause{10};
  if (!idle.empty()) {
    soak_request request;
    request.id = this->next_request_id();
    request.kind =
        next_below(this->crash_random, 2) == 0 ? request_kind::chat : request_kind::guide;
    request.key = this->keys[next_below(this->crash_random, this->keys.size())];
    request.holds_crashing_part = true;
    this->history.crashing_requests.insert(request.id);
    idle[next_below(this->crash_random, idle.size())]->send_request(std::move(request));
    pause = milliseconds{shortest_interval_ms + next_below(this->crash_random, range_ms)};
  }
  this->tasks.after(pause, [this] { this->send_crashing_request(); });
}

void soak_run::crash_endpoint(soak_endpoint& endpoint, const std::string& request) {
  if (endpoint.proxy().down) {
    return;
  }
  this->history.crashes.push_back(this->time.now());
  const milliseconds absence{2'000 + next_below(this->crash_random, 2'001)};
  const bool removes_row = next_below(this->crash_random, 2) == 0;
  this->log_event(endpoint.name + " crashes on request " + request);
  this->take_down(endpoint, absence, removes_row);
}

void soak_run::take_down(soak_endpoint& endpoint, milliseconds absence, bool removes_row) {
  this->log_event(endpoint.name + " is away for " + std::to_string(absence.count()) +
                  " ms, its row " + (removes_row ? "is removed" : "stays"));
  this->record_disturbance(endpoint.name, disturbed_part::endpoint_link, absence);
  endpoint.proxy().down = true;
  endpoint.proxy().reset_all();
  if (removes_row) {
    this->write_to_store("servers", endpoint.name, "");
  }
  this->tasks.after(absence, [this, &endpoint] {
    if (!this->endpoint_states.contains(endpoint.name)) {
      // It has left for good in the meantime.
      return;
    }
    endpoint.proxy().down = false;
    ++this->endpoint_restarts[endpoint.name];
    this->write_endpoint(endpoint.name, std::string(this->endpoint_states[endpoint.name]));
  });
}

}  // namespace chestnuthead::soak
