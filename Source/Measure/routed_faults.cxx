#include <utility>
#include <vector>

#include "Measure/routed_nodes.h"

namespace chestnuthead {

namespace {

/// Time from the kill of a process until its replacement starts.
constexpr std::chrono::seconds process_restart_time{1};

}  // namespace

void routed_fleet::set_domain_out(std::size_t domain, bool out) {
  const failure_domain_id name{domain_name(domain)};
  this->change_configuration([&](configuration_document& changed) {
    if (out) {
      changed.failure_domains_out.insert(name);
    } else {
      changed.failure_domains_out.erase(name);
    }
  });
}

void routed_fleet::change_configuration(
    const std::function<void(configuration_document&)>& change) {
  change(this->document);
  this->write_configuration();
}

void routed_fleet::set_table_condition(table_condition condition) {
  this->platform.set_condition(condition);
}

// Reports the lost link to the router and to the agent of each attempt.
void routed_fleet::break_links(const std::function<bool(const live_attempt&)>& chosen) {
  std::vector<attempt_id> lost;
  for (const auto& [attempt, live] : this->attempts) {
    if (!live.link_lost && chosen(live)) {
      lost.push_back(attempt);
    }
  }
  for (const attempt_id& attempt : lost) {
    live_attempt& live = this->attempts.at(attempt);
    live.link_lost = true;
    const std::uint64_t passed = live.first_byte ? 1 : 0;
    if (this->routers.at(live.router)->incarnation == live.router_incarnation) {
      this->to_router(
          live.router,
          attempt_ended{live.facts.request, attempt, attempt_outcome::lost, passed, {}});
    }
    this->to_agent(live.endpoint, attempt_withdrawn{attempt});
  }
}

void routed_fleet::set_cut(std::size_t endpoint, bool cut) {
  this->agents.at(endpoint)->cut = cut;
  if (!cut) {
    return;
  }
  this->break_links([endpoint](const live_attempt& live) { return live.endpoint == endpoint; });
  for (std::size_t router = 0; router < this->routers.size(); ++router) {
    this->to_router(router, router_link_lost{node_id{this->name_of_endpoint(endpoint)}});
  }
}

void routed_fleet::kill_router(std::size_t index) {
  router_node& node = *this->routers.at(index);
  ++node.incarnation;
  node.running = false;
  this->break_links([index](const live_attempt& live) { return live.router == index; });
  std::vector<request_id> lost;
  for (const auto& [request, live] : this->requests) {
    if (live.router == index) {
      lost.push_back(request);
    }
  }
  // The callers' connections break, which leaves the execution state unknown.
  for (const request_id& request : lost) {
    this->fail_request(request, error_kind::answer_incomplete, run_state::unknown,
                       std::chrono::milliseconds{0});
  }
  this->queue.after(process_restart_time, [this, index] { this->start_router(index); });
}

void routed_fleet::kill_agent(std::size_t endpoint) {
  agent_node& node = *this->agents.at(endpoint);
  this->break_links([endpoint](const live_attempt& live) { return live.endpoint == endpoint; });
  ++node.incarnation;
  std::erase_if(this->attempts,
                [endpoint](const auto& entry) { return entry.second.endpoint == endpoint; });
  this->queue.after(process_restart_time, [this, endpoint] { this->start_agent(endpoint); });
}

void routed_fleet::freeze_agent(std::size_t endpoint, std::chrono::milliseconds length) {
  this->agents.at(endpoint)->frozen_until = this->queue.now() + length;
}

}  // namespace chestnuthead
