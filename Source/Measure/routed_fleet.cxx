#include "Measure/routed_fleet.h"

#include <utility>

#include "Measure/routed_nodes.h"
#include "Router/router_state.h"

namespace chestnuthead {

routed_fleet::routed_fleet(event_queue& events, const fleet_parameters& shape,
                           const configuration_document& configuration, std::uint64_t seed)
    : fleet(events, shape),
      document(configuration),
      random(seed),
      platform(events, this->random, shape.link_time) {
  this->write_configuration();
  for (std::size_t index = 0; index < this->engine_table.size(); ++index) {
    this->agents.push_back(std::make_unique<agent_node>());
    this->wire_engine(index);
    this->start_agent(index);
  }
  for (std::size_t index = 0; index < shape.routers; ++index) {
    this->routers.push_back(std::make_unique<router_node>());
    this->start_router(index);
  }
}

routed_fleet::~routed_fleet() = default;

void routed_fleet::submit(const planned_request& request,
                          std::function<void(const request_outcome&)> done) {
  const std::size_t router = this->running_router();
  live_request& live = this->requests[request.facts.request];
  live.planned = request;
  live.done = std::move(done);
  live.arrived = this->queue.now();
  live.router = router;
  request_arrived event;
  event.facts = request.facts;
  event.method = request.method;
  event.path = request.path;
  event.key_from_caller = !request.facts.key.empty();
  if (!this->routers.at(router)->running) {
    this->queue.after(this->parameters.link_time, [this, id = request.facts.request] {
      this->fail_request(id, error_kind::answer_incomplete, run_state::unknown,
                         std::chrono::milliseconds{0});
    });
    return;
  }
  event.body_bytes = request.facts.prompt_tokens;
  this->step_router(router, event);
}

void routed_fleet::restart(std::size_t endpoint) {
  this->step_agent(endpoint, agent_stop_requested{});
}

router_summary routed_fleet::router_summary_of(std::size_t router) const {
  return summarise(*this->routers.at(router)->state);
}

agent_summary routed_fleet::agent_summary_of(std::size_t endpoint) const {
  return summarise(*this->agents.at(endpoint)->state);
}

const std::map<std::string, std::uint64_t>& routed_fleet::broken_invariants() const {
  return this->broken;
}

std::uint64_t routed_fleet::probes() const {
  return this->probes_sent;
}

void routed_fleet::start_router(std::size_t index) {
  router_settings settings;
  settings.self = node_id{router_name(index)};
  settings.failure_domain =
      failure_domain_id{domain_name(index % this->parameters.failure_domains)};
  settings.region = region_id{"region"};
  router_node& node = *this->routers.at(index);
  node.state = make_router_state(settings, this->random);
  node.state->tuning.new_chat_choices = this->parameters.new_chat_choices;
  node.state->switches.use_chat_affinity = this->parameters.use_chat_memory;
  ++node.incarnation;
  node.running = true;
  this->tick_router(index, node.incarnation);
}

void routed_fleet::start_agent(std::size_t index) {
  agent_node& node = *this->agents.at(index);
  agent_settings settings;
  settings.self = node_id{this->name_of_endpoint(index)};
  settings.endpoint = endpoint_id{settings.self.value};
  settings.pool = this->pool_of(index);
  settings.failure_domain = failure_domain_id{domain_name(this->domain_of(index))};
  settings.region = region_id{"region"};
  node.state = make_agent_state(settings, this->random);
  ++node.incarnation;
  this->tick_agent(index, node.incarnation);
  const bool cold = this->engine_table.at(index)->cold();
  this->to_agent(index, endpoint_ready{cold});
}

void routed_fleet::tick_router(std::size_t index, std::uint64_t incarnation) {
  if (this->routers.at(index)->incarnation != incarnation) {
    return;
  }
  this->step_router(index, router_tick{});
  this->queue.after(router_tick_interval,
                    [this, index, incarnation] { this->tick_router(index, incarnation); });
}

void routed_fleet::tick_agent(std::size_t index, std::uint64_t incarnation) {
  const agent_node& node = *this->agents.at(index);
  if (node.incarnation != incarnation) {
    return;
  }
  if (node.frozen_until <= this->queue.now()) {
    this->step_agent(index, agent_tick{});
  }
  this->queue.after(agent_tick_interval,
                    [this, index, incarnation] { this->tick_agent(index, incarnation); });
}

void routed_fleet::to_router(std::size_t index, router_event event) {
  const std::uint64_t incarnation = this->routers.at(index)->incarnation;
  this->queue.after(this->parameters.link_time,
                    [this, index, incarnation, event = std::move(event)] {
                      if (this->routers.at(index)->incarnation == incarnation) {
                        this->step_router(index, event);
                      }
                    });
}

void routed_fleet::to_agent(std::size_t index, agent_event event) {
  const agent_node& node = *this->agents.at(index);
  const std::uint64_t incarnation = node.incarnation;
  auto delay = this->parameters.link_time;
  if (node.frozen_until > this->queue.now()) {
    delay += std::chrono::ceil<std::chrono::microseconds>(node.frozen_until - this->queue.now());
  }
  this->queue.after(delay, [this, index, incarnation, event = std::move(event)] {
    const agent_node& target = *this->agents.at(index);
    if (target.incarnation != incarnation) {
      return;
    }
    // The agent may have been paused while the message was in transit.
    if (target.frozen_until > this->queue.now()) {
      this->to_agent(index, event);
      return;
    }
    this->step_agent(index, event);
  });
}

void routed_fleet::send_to_router(std::size_t endpoint, std::size_t router, router_event event) {
  if (!this->agents.at(endpoint)->cut) {
    this->to_router(router, std::move(event));
  }
}

void routed_fleet::step_router(std::size_t index, const router_event& event) {
  for (const router_action& action :
       step(*this->routers.at(index)->state, event, this->queue.now())) {
    this->carry_out(index, action);
  }
}

void routed_fleet::step_agent(std::size_t index, const agent_event& event) {
  for (const agent_action& action :
       step(*this->agents.at(index)->state, event, this->queue.now())) {
    this->carry_out_agent(index, action);
  }
}

void routed_fleet::finish_request(const request_id& request, const request_outcome& outcome) {
  const auto place = this->requests.find(request);
  if (place == this->requests.end()) {
    ++this->broken["request_answered_twice"];
    return;
  }
  const auto done = std::move(place->second.done);
  this->requests.erase(place);
  done(outcome);
}

void routed_fleet::fail_request(const request_id& request, error_kind kind, run_state ran,
                                std::chrono::milliseconds back) {
  request_outcome outcome;
  outcome.error = kind;
  outcome.ran = ran;
  outcome.retry_after = back;
  this->finish_request(request, outcome);
}

// Replaces the VM once its planned stop is complete.
void routed_fleet::replace_agent(std::size_t index) {
  ++this->agents.at(index)->incarnation;
  engine_model& engine = *this->engine_table.at(index);
  // Starts the new agent from the queue, because `wire_engine` replaces this
  // callback while it would be running.
  engine.on_ready = [this, index] {
    this->queue.after(std::chrono::microseconds{0}, [this, index] {
      this->wire_engine(index);
      this->start_agent(index);
    });
  };
  engine.replace();
}

void routed_fleet::write_configuration() {
  const table_write write{configuration_row_key, this->configuration_row_version,
                          format_configuration(this->document)};
  this->platform.rows.apply(table_write_group{{write}});
  ++this->configuration_row_version;
}

vm_snapshot routed_fleet::list_vms() const {
  vm_snapshot snapshot;
  snapshot.version = this->list_version;
  for (std::size_t index = 0; index < this->engine_table.size(); ++index) {
    vm_entry vm;
    vm.node = node_id{this->name_of_endpoint(index)};
    vm.role = vm_role::agent;
    vm.pool = this->pool_of(index);
    vm.failure_domain = failure_domain_id{domain_name(this->domain_of(index))};
    vm.region = region_id{"region"};
    vm.address = vm.node.value;
    snapshot.vms.push_back(vm);
  }
  for (std::size_t index = 0; index < this->parameters.routers; ++index) {
    vm_entry vm;
    vm.node = node_id{router_name(index)};
    vm.failure_domain = failure_domain_id{domain_name(index % this->parameters.failure_domains)};
    vm.region = region_id{"region"};
    vm.address = vm.node.value;
    snapshot.vms.push_back(vm);
  }
  return snapshot;
}

std::size_t routed_fleet::index_of(const node_id& node) const {
  return std::stoul(node.value.substr(node.value.find('-') + 1));
}

// Load balancer: chooses a running router at random. If none is running, it
// returns the first one, and the caller's connection breaks.
std::size_t routed_fleet::running_router() {
  std::vector<std::size_t> running;
  for (std::size_t index = 0; index < this->routers.size(); ++index) {
    if (this->routers.at(index)->running) {
      running.push_back(index);
    }
  }
  return running.empty() ? 0 : running.at(next_below(this->random, running.size()));
}

pool_id routed_fleet::pool_of(std::size_t endpoint) const {
  return pool_id{endpoint < this->parameters.endpoints ? model_pool_name : service_pool_name};
}

configuration_document measured_document(const fleet_parameters& parameters) {
  configuration_document document;
  document.operation = "measure";
  pool_configuration pool;
  pool.name = pool_id{model_pool_name};
  pool.load_multiple = parameters.load_multiple;
  pool.concurrency = parameters.engine.batch_limit;
  pool.warm_limit = 2 * parameters.engine.batch_limit;
  pool.cold_limit = parameters.engine.cold_request_limit;
  document.pools.push_back(pool);
  pool.name = pool_id{service_pool_name};
  pool.kind = pool_kind::plain_service;
  pool.default_deadline = std::chrono::milliseconds{5'000};
  pool.operations.push_back({"GET", "/", execution_rule::idempotent});
  document.pools.push_back(pool);
  constexpr int customers = 10;
  for (int index = 0; index < customers; ++index) {
    document.customers.push_back({customer_id{"customer-" + std::to_string(index)}, 1.0});
  }
  for (std::size_t index = 0; index < parameters.failure_domains; ++index) {
    document.failure_domains.push_back(failure_domain_id{domain_name(index)});
  }
  return document;
}

}  // namespace chestnuthead
