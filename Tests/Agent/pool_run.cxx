#include "Agent/pool_run.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "Agent/admission.h"

namespace chestnuthead {

namespace {

constexpr std::chrono::milliseconds shortest_service{500};
constexpr std::uint64_t service_spread_ms = 2'500;
constexpr double mean_worth_a_ratio = 4.0;
constexpr std::uint32_t pool_warm_limit = 32;

configuration_document pool_document() {
  configuration_document document = small_document(pool_kind::model_engine);
  document.pools.at(0).warm_limit = pool_warm_limit;
  document.pools.at(0).concurrency = pool_warm_limit;
  return document;
}

vm_snapshot list_of(const std::vector<std::unique_ptr<agent_bench>>& agents) {
  vm_snapshot list;
  list.version = 2;
  for (const auto& agent : agents) {
    vm_entry vm;
    vm.node = agent->settings.self;
    vm.role = vm_role::agent;
    vm.pool = agent->settings.pool;
    vm.failure_domain = agent->settings.failure_domain;
    vm.region = agent->settings.region;
    vm.address = agent->settings.address;
    list.vms.push_back(vm);
  }
  return list;
}

}  // namespace

pool_run::pool_run(std::uint64_t seed, const pool_options& pool) : options(pool), random(seed) {
  agent_bench::store(this->table, pool_document());
  for (std::size_t index = 0; index < pool.endpoints; ++index) {
    const std::string name = "agent-" + std::to_string(index);
    this->index_of[name] = index;
    this->agents.push_back(std::make_unique<agent_bench>(this->table, name));
  }
  this->running.resize(pool.endpoints);
  for (const auto& agent : this->agents) {
    agent->list_vms(list_of(this->agents));
    agent->start();
    agent->state->warm.limit = pool_warm_limit;
    agent->state->switches.bound_by_mean = pool.bound_by_mean;
    agent->now = steady_time{std::chrono::hours{2}};
  }
}

void pool_run::run(std::chrono::milliseconds time) {
  for (auto left = time; left > std::chrono::milliseconds{0}; left -= agent_tick_interval) {
    this->tick();
  }
}

pool_result pool_run::take_result() {
  for (const auto& agent : this->agents) {
    this->result.invariants_broken += agent->broken.size();
    agent->broken.clear();
  }
  return std::exchange(this->result, {});
}

void pool_run::tick() {
  for (const auto& agent : this->agents) {
    agent->pass(agent_tick_interval);
  }
  this->finish_due();
  if (this->options.gossip) {
    this->deliver_gossip();
  }
  // The fractional part of the mean is the probability of one more request.
  const auto whole = static_cast<int>(this->options.arrivals);
  const bool one_more = next_unit(this->random) < this->options.arrivals - whole;
  for (int count = 0; count < whole + (one_more ? 1 : 0); ++count) {
    this->arrive();
  }
}

void pool_run::finish_due() {
  for (std::size_t index = 0; index < this->agents.size(); ++index) {
    agent_bench& agent = *this->agents.at(index);
    auto& ends = this->running.at(index);
    while (!ends.empty() && ends.begin()->first <= agent.now) {
      agent.send(finished(ends.begin()->second));
      ends.erase(ends.begin());
    }
  }
}

void pool_run::arrive() {
  ++this->result.offered;
  const std::string request = "r" + std::to_string(this->next_attempt++);
  attempt_offered event = offer(request);
  std::vector<std::size_t> order = this->preference();
  order.resize(std::min(order.size(), this->options.choices));
  for (const std::size_t index : order) {
    event.attempt = attempt_id{request + "/" + std::to_string(index)};
    if (this->offer_to(index, event)) {
      return;
    }
    ++this->result.single_refusals;
    const agent_bench& agent = *this->agents.at(index);
    if (this->options.send_refused_loads) {
      event.terms.refused_loads.push_back({agent.settings.endpoint, agent.load(), 0, {}});
    }
  }
  ++this->result.refused_by_all;
}

std::vector<std::size_t> pool_run::preference() {
  std::vector<std::size_t> order(this->agents.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  for (std::size_t place = 0; place + 1 < order.size(); ++place) {
    std::swap(order[place], order[place + next_below(this->random, order.size() - place)]);
  }
  if (next_unit(this->random) < this->options.hot_share) {
    std::iter_swap(order.begin(), std::find(order.begin(), order.end(), std::size_t{0}));
  }
  return order;
}

bool pool_run::offer_to(std::size_t index, const attempt_offered& event) {
  agent_bench& agent = *this->agents.at(index);
  if (count_of_kind<run_on_endpoint>(agent.send(event)) == 0) {
    return false;
  }
  const std::chrono::milliseconds service =
      shortest_service + std::chrono::milliseconds{next_below(this->random, service_spread_ms)};
  this->running.at(index).emplace(agent.now + service, event.attempt.value);
  this->note_admission(index);
  return true;
}

void pool_run::note_admission(std::size_t index) {
  const double mean = this->true_mean();
  const auto load = this->agents.at(index)->load();
  const auto endpoints = static_cast<std::uint32_t>(this->agents.size());
  // The mean already includes the admitted request.
  const double before = mean - 1.0 / endpoints;
  const std::uint32_t bound =
      bound_by_mean(pool_document().pools.at(0).load_multiple, before, endpoints);
  if (load > bound) {
    ++this->result.above_true_bound;
    this->result.highest_excess = std::max(this->result.highest_excess, load - bound);
  }
  if (mean >= mean_worth_a_ratio) {
    this->result.highest_ratio = std::max(this->result.highest_ratio, load / mean);
  }
}

void pool_run::deliver_gossip() {
  for (const auto& from : this->agents) {
    for (const agent_send_gossip& sent : std::exchange(from->outbox, {})) {
      const auto place = this->index_of.find(sent.to.value);
      if (place != this->index_of.end()) {
        this->agents.at(place->second)->send(agent_gossip_received{sent.message});
      }
    }
  }
}

double pool_run::true_mean() const {
  double sum = 0.0;
  for (const auto& agent : this->agents) {
    sum += agent->load();
  }
  return sum / static_cast<double>(this->agents.size());
}

}  // namespace chestnuthead
